"""Runs a rehearsal on the virtual clock; the same script and seed give the same report, byte for byte."""

from collections.abc import Callable

import msgspec

from kestrelplank.emulator.assigners import PolicyFactory
from kestrelplank.emulator.ideal_placement import IdealPlacementSimulation
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.simulation import Simulation
from kestrelplank.emulator.virtual_clock import VirtualClock
from kestrelplank.load_balancing.operations import PROOFS_NOT_EXECUTED, AttemptOutcome
from kestrelplank.policy import Policy
from kestrelplank.time_units import MILLISECOND

REPORT_FORMAT = 1
STEP_NS = 500 * MILLISECOND  # of virtual time between progress callbacks
START_NS = 1_000_000_000_000  # above 0, as a node's start time of 0 would mean long ago


def play(
    script: Script,
    seed: int,
    make_policy: PolicyFactory = Policy,
    proofs: tuple[AttemptOutcome, ...] = PROOFS_NOT_EXECUTED,
    on_progress: Callable[[float], None] = lambda _share: None,
    *,
    ideal_placement: bool = False,
) -> dict[str, object]:
    """Run a script and return the report.

    :param on_progress: called regularly with the share of the rehearsal that has passed.
    :param ideal_placement: place slices with complete knowledge of the simulated state, as an upper bound.
    """
    clock = VirtualClock(START_NS)
    if ideal_placement:
        simulation: Simulation = IdealPlacementSimulation(script, seed, clock)
    else:
        simulation = Simulation(script, seed, clock, make_policy, proofs)
    simulation.play(clock.run, STEP_NS, on_progress)
    return report(simulation, "virtual")


def report(simulation: Simulation, how: str) -> dict[str, object]:
    """Return the report of a finished simulation. All figures are measured by the simulation, none by a policy."""
    environment, store, network = simulation.environment, simulation.store, simulation.network
    rules, score, site = environment.rules, environment.score, simulation.script.site
    rules.close(simulation.clock.now())
    return {
        "form": REPORT_FORMAT,
        "how": how,
        "seed": simulation.seed,
        "site": {"nodes": site.nodes, "relays": site.relays, "conductors": site.conductors, "slices": site.slices},
        **score.report(),
        "rules": msgspec.to_builtins(rules.report()),
        "broken": rules.broken(),
        "duplicates": {name: rules.duplicates[name] for name in environment.op_type_names},
        "acked_without_a_run": score.acked_without_a_run,
        "second_tries": sum(proxy.attempts.counts["second_tries"] for proxy in simulation.proxies),
        "channel": {"messages": store.messages, "lines": store.orders_sent, "moves": store.moves},
        "cross_zone": _share(network.cross_zone_attempts, network.first_attempts),
        "events": score.events,
        "timelines": score.timelines(),
    }


def _share(count: int, total: int) -> float:
    return round(count / total, 4) if total else 0.0
