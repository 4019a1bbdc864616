"""One rehearsal from script and seed, on the virtual clock, as a report that is equal byte for byte each time."""

from collections.abc import Callable
from typing import Any

from kestrelplank.emulator.clock import Clock
from kestrelplank.emulator.oracle import OracleWorld
from kestrelplank.emulator.script import MS, Script
from kestrelplank.emulator.world import World
from kestrelplank.load_balancing.operations import PROOFS_NOT_EXECUTED, AttemptOutcome
from kestrelplank.policy import Policy

FORM = 1  # of the report
STEP = 500 * MS  # of virtual time between two calls of progress


def play(
    script: Script,
    seed: int,
    policy: Callable[..., Any] = Policy,
    proofs: tuple[AttemptOutcome, ...] = PROOFS_NOT_EXECUTED,
    progress: Callable[[float], None] = lambda done: None,
    knowing: bool = False,
) -> dict:
    """Plays it, tells progress as shares of its length, and returns the report. `knowing`: slices are placed by who
    knows the truth, the upper mark."""
    clock = Clock(1_000_000_000_000)  # a node's start is never 0, which would mean long ago
    world = OracleWorld(script, seed, clock) if knowing else World(script, seed, clock, policy, proofs)
    world.start()
    while clock.now() < world.over:
        clock.run(min(world.over, clock.now() + STEP))
        progress((clock.now() - world.begun) / (world.over - world.begun))
    return report(world, "virtual")


def report(world: World, how: str) -> dict:
    """What a played world has shown. The module has no part in any figure here."""
    world.rules.close(world.clock.now())
    site = world.script.site
    return {
        "form": FORM,
        "how": how,
        "seed": world.seed,
        "site": {"nodes": site.nodes, "relays": site.relays, "conductors": site.conductors, "slices": site.slices},
        **world.score.report(),
        "rules": world.rules.report(),
        "broken": world.rules.broken(),
        "duplicates": {name: world.rules.duplicates[name] for name in world.names},
        "acked_without_a_run": world.score.unproved,
        "second_tries": sum(relay.attempts.counts["second_tries"] for relay in world.relays),
        "channel": {"messages": world.hub.messages, "lines": world.hub.line_count, "moves": world.hub.moves},
        "cross_zone": round(world.network.cross / world.network.first, 4) if world.network.first else 0.0,
        "events": world.score.events,
        "timelines": world.score.timelines(),
    }
