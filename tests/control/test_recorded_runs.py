"""Complete simulated runs produce the recorded effects: content, member, time and order, byte for byte.

An intended change of behaviour changes the digests; its commit gives the reason.

Each effect is hashed in its encoding on the wire or on disk, so that names in the code may change. Of a log line, only
its member and time are hashed.
"""

from hashlib import blake2b
from random import Random

import msgspec
import pytest
from control.simulation import NAMES, Simulation

from kestrelplank.consensus.effects import Persist
from kestrelplank.control.effects import (
    AnswerOrder,
    AnswerRead,
    CallServer,
    LogLine,
    PushToEdges,
    SendMessage,
    SendToAddress,
    WriteConfigurationCopy,
)
from kestrelplank.sharding.effects import GrantKeyRange
from kestrelplank.time_units import SECOND

# By seed: the number of effects and replies to the edge machine, and their digest.
RECORDED = {
    0: (3699, "4e2dc39f9a3b19cd33a273f5888c8038"),
    1: (3481, "48343a5f32e7cdc0d9cf7eb7bf82238d"),
    2: (3495, "65874bc1794cd09cd2e1015e66b3c558"),
    3: (3453, "772f5d03e4c0593e604680295bd86e13"),
    4: (3494, "39cd3916cdbb7a38fb7b5608acaf02bf"),
    5: (3428, "e194943436373aa55e2b2ed7fe08d4e5"),
}


def content(effect):
    """The content of an effect without names of the code: a tag, and values in a fixed order."""
    match effect:
        case SendMessage(to, message):
            return "send", to, message
        case SendToAddress(address, message):
            return "send to address", address, message
        case PushToEdges(message):
            return "push", message
        case CallServer(service, request, lease_until):
            keys, action = request.key_range, "grant" if isinstance(request, GrantKeyRange) else "release"
            where = service, request.server, request.address, keys.first, keys.last
            return "call", action, *where, keys.fencing_token, keys.handover, lease_until
        case AnswerOrder(ticket, acknowledged, in_force):
            return "order", ticket, acknowledged, in_force
        case AnswerRead(ticket, known, text):
            return "read", ticket, known, text
        case WriteConfigurationCopy(version, text):
            return "copy", version, text
        case LogLine():
            return ("log",)
        case Persist(number, hard_state, snapshot, entries):
            return "persist", number, hard_state, snapshot, entries
    raise AssertionError(effect)


class RecordedSimulation(Simulation):
    """A simulation that hashes its members' effects and their replies to the edge machine."""

    def __init__(self, seed):
        self.digest, self.effect_count = blake2b(digest_size=16), 0
        super().__init__(seed)

    def record(self, name, *values):
        self.effect_count += 1
        self.digest.update(msgspec.msgpack.encode((self.now, name, *values)))

    def carry_out(self, name, effects):
        for effect in effects:
            self.record(name, *content(effect))
        super().carry_out(name, effects)

    def send_to_edge(self, name, message):
        self.record(name, "edge", message)
        super().send_to_edge(name, message)


def recorded_run(seed):
    """Run 40 seconds with orders, reads, losses, a new member, a drain, a partition and a stop; return the record."""
    system, random = RecordedSimulation(seed), Random(seed)
    system.start_up()
    system.hot_key = 20_000
    for version in range(2, 6):
        system.submit_order(random.choice(NAMES), version)
        system.read_configuration(random.choice(NAMES))
        system.run_for(0.5)
    system.server_states["i-1"] = "draining"
    lost = random.choice(NAMES)
    system.kill(lost, wipe=seed % 2 == 0)
    system.run_for(4)
    system.start(lost)
    system.start("10.0.0.4:80")
    system.run_for(5)
    isolated = system.leader()
    system.partitions = {frozenset((isolated, other)) for other in system.members if other != isolated}
    system.submit_order(isolated, 9)
    system.run_for(4)
    system.partitions = set()
    system.run_for(3)
    system.stop(system.leader())
    system.run_for(6)
    for name in list(system.members):
        system.kill(name)
    for name in (*NAMES, "10.0.0.4:80"):
        if name in system.disks:
            system.start(name)
    system.run_for(8)
    system.frozen[system.leader() or NAMES[0]] = system.now + 4 * SECOND
    system.run_for(6)
    return system.effect_count, system.digest.hexdigest()


@pytest.mark.parametrize("seed", sorted(RECORDED))
def test_a_run_produces_the_recorded_effects(seed):
    assert recorded_run(seed) == RECORDED[seed]
