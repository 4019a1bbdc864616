"""Whole runs give the effects that were recorded: which, of whom, when and in what order, to the byte.

A change of behaviour that is wanted changes the digests; its commit says why.

Each effect is hashed as it is encoded on the wire or on disk, so that names in the code may change. Of a line of the
log only its moment counts.
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

# By seed: number of effects and answers to the edge machine, and their digest.
RECORDED = {
    0: (3634, "308b0441ff7bf7e4ac7764fdaecadc55"),
    1: (3473, "bbac3b723e75d51483d33a2d1b2cdccf"),
    2: (3542, "7cb2a8789d46c980f9551059942e9230"),
    3: (3452, "e5dc1a0649a669493b6858f0f7654f35"),
    4: (3468, "f1b36014cdc7e3121dbe3ff0a5208d42"),
    5: (3442, "a1e609e663072bf7bcf54e641254320e"),
}


def content(effect):
    """What an effect says, without names of the code: a tag, and values in a fixed order."""
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
    """A simulation that hashes what its members want done, and what they answer to the edge machine."""

    def __init__(self, seed):
        self.digest, self.count_recorded = blake2b(digest_size=16), 0
        super().__init__(seed)

    def record(self, name, *values):
        self.count_recorded += 1
        self.digest.update(msgspec.msgpack.encode((self.now, name, *values)))

    def carry_out(self, name, effects):
        for effect in effects:
            self.record(name, *content(effect))
        super().carry_out(name, effects)

    def send_to_edge(self, name, message):
        self.record(name, "edge", message)
        super().send_to_edge(name, message)


def played(seed):
    """Forty seconds with orders, reads, losses, a newcomer, a drain, a cut, and a member that stops."""
    system, chance = RecordedSimulation(seed), Random(seed)
    system.start_up()
    system.hot_key = 20_000
    for version in range(2, 6):
        system.submit_order(chance.choice(NAMES), version)
        system.read_configuration(chance.choice(NAMES))
        system.run_for(0.5)
    system.server_states["i-1"] = "draining"
    lost = chance.choice(NAMES)
    system.kill(lost, wipe=seed % 2 == 0)
    system.run_for(4)
    system.start(lost)
    system.start("10.0.0.4:80")
    system.run_for(5)
    lone = system.leader()
    system.partitions = {frozenset((lone, other)) for other in system.members if other != lone}
    system.submit_order(lone, 9)
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
    return system.count_recorded, system.digest.hexdigest()


@pytest.mark.parametrize("seed", sorted(RECORDED))
def test_a_run_produces_the_recorded_effects(seed):
    assert played(seed) == RECORDED[seed]
