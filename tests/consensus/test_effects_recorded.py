"""The effects of seeded histories, compared with recorded digests.

They detect any change of the core's behaviour, down to the order of random draws, effects and writes, during a
refactoring. An intended change of behaviour changes these digests: run this file as a script to print the new ones, and
give the reason in the commit.

    PYTHONPATH=tests python tests/consensus/test_effects_recorded.py
"""

import hashlib
from collections import Counter

import msgspec
import pytest

from consensus.replacing_cluster import ReplacingCluster
from consensus.simulated_cluster import Cluster, Conditions
from consensus.test_histories import History
from kestrelplank.consensus.effects import Applied, Deposed, Effect, Elected, Persist, Restored, Send
from kestrelplank.time_units import SECOND

STEPS = 20_000  # executed of each history

RECORDED = {
    "three members, seed 1": "500475dd23e1cecd1258d9a970746759",
    "three members, seed 2": "d498006cfe38317adee5c4a1cf6690e7",
    "five members, seed 3": "0e6c70ead0e7f192576ab8bdf1f1e05f",
    "five members, seed 4": "ec1588b9acf89c09d963c95360a57e1a",
    "replacements, seed 5": "ff5bf8229384c58f950d1b2055311ceb",
    "replacements with snapshots in several chunks, seed 6": "5d791f1012621b9fe9455fbd61994a0a",
    "slow links, seed 7": "c311ffc550b2d9969168e241ddf20183",
}


def flattened(effect: Effect) -> tuple[object, ...]:
    """The content of an effect, without field names."""
    if isinstance(effect, Send):
        return ("send", effect.to, effect.message)
    if isinstance(effect, Persist):
        return ("persist", effect.number, effect.hard_state, effect.snapshot, effect.entries)
    if isinstance(effect, Applied):
        return ("applied", effect.entry)
    if isinstance(effect, Restored):
        return ("restored", effect.snapshot)
    if isinstance(effect, Elected):
        return ("elected", effect.term)
    assert isinstance(effect, Deposed)
    return ("deposed",)


class Recorder:
    """A digest of all effects of the members of a cluster, and of their states."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.counts: Counter[str] = Counter()
        self._digest = hashlib.blake2b(digest_size=16)
        carry_out = cluster.carry_out

        def recorded(machine, effects):
            for effect in effects:
                values = flattened(effect)
                self.counts[values[0]] += 1
                self._add(machine.identity, values)
            carry_out(machine, effects)

        cluster.carry_out = recorded

    def _add(self, *values: object) -> None:
        self._digest.update(msgspec.msgpack.encode((self.cluster.time, *values)))

    def run(self, steps: int) -> str:
        """Execute this many steps of the cluster; return the digest after them."""
        for _ in range(steps):
            self.cluster.step()
            for machine in self.cluster.running():
                node, now = machine.node, machine.clock(self.cluster.time)
                catch_up_state = str(node.catch_up_state(now))
                durable = (node.term, node.epoch, node.commit_index, node.applied_index, node.durable_index)
                self._add(
                    machine.identity,
                    str(node.role),
                    node.leader,
                    node.leads(now),
                    node.current(now),
                    catch_up_state,
                    durable,
                )
        return self._digest.hexdigest()


def history(seed: int, count: int) -> Recorder:
    """A random history of `count` members under all tolerated faults."""
    history_run = History(seed, count)
    recorder = Recorder(history_run.cluster)
    history_run.cluster.schedule(0, history_run.send_orders)
    history_run.cluster.schedule(2 * SECOND, history_run.inject_fault)
    return recorder


def replacements(seed: int, text_bytes: int = 4) -> Recorder:
    """Leaving leaders are replaced by standbys while orders of `text_bytes` are sent."""
    cluster = ReplacingCluster(voter_count=3, losses=1, seed=seed, spare=3)
    recorder = Recorder(cluster)
    for machine in cluster.machines.values():
        machine.compact_after = 16

    def replace_leader() -> None:
        leader = cluster.leader()
        if leader is not None:
            cluster.terminate(leader.address)
            down = [name for name, machine in cluster.machines.items() if not machine.runs]
            cluster.start(cluster.random.choice(down))
        cluster.schedule(7 * SECOND, replace_leader)

    def send_order(version: int) -> None:
        running = [machine.address for machine in cluster.running()]
        cluster.order(cluster.random.choice(running), version, (b"%d" % version).ljust(text_bytes))
        cluster.schedule(SECOND // 10, lambda: send_order(version + 1))

    cluster.schedule(2 * SECOND, replace_leader)
    cluster.schedule(SECOND, lambda: send_order(1))
    return recorder


def slow_links(seed: int) -> Recorder:
    """Large orders over slow, lossy links, with a follower that freezes repeatedly, so that chunks are retried."""
    cluster = Cluster(3, seed)
    recorder = Recorder(cluster)
    for machine in cluster.machines.values():
        machine.compact_after = 4
    cluster.conditions = Conditions(bytes_per_s=200_000, loss=0.05)

    def freeze_follower() -> None:
        leader = cluster.leader()
        name = cluster.random.choice([name for name in cluster.machines if leader is None or name != leader.address])
        cluster.freeze(name)
        cluster.schedule(cluster.random.randrange(16 * SECOND), lambda: cluster.thaw(name))
        cluster.schedule(20 * SECOND, freeze_follower)

    def send_order(version: int) -> None:
        running = [machine.address for machine in cluster.running()]
        cluster.order(cluster.random.choice(running), version, (b"%d" % version).ljust(100_000))
        cluster.schedule(2 * SECOND, lambda: send_order(version + 1))

    def record(number: int) -> None:
        leader = cluster.leader()
        if leader is not None:
            cluster.propose(leader, b"%d" % number)
        cluster.schedule(SECOND // 20, lambda: record(number + 1))

    cluster.schedule(2 * SECOND, freeze_follower)
    cluster.schedule(SECOND, lambda: send_order(1))
    cluster.schedule(SECOND, lambda: record(1))
    return recorder


RECORDERS = {
    "three members, seed 1": lambda: history(1, 3),
    "three members, seed 2": lambda: history(2, 3),
    "five members, seed 3": lambda: history(3, 5),
    "five members, seed 4": lambda: history(4, 5),
    "replacements, seed 5": lambda: replacements(5),
    "replacements with snapshots in several chunks, seed 6": lambda: replacements(6, text_bytes=100_000),
    "slow links, seed 7": lambda: slow_links(7),
}


@pytest.mark.parametrize("name", RECORDERS)
def test_effects_are_those_recorded(name):
    assert RECORDERS[name]().run(STEPS) == RECORDED[name]


if __name__ == "__main__":
    for name, begin in RECORDERS.items():
        recorder = begin()
        print(f'    "{name}": "{recorder.run(STEPS)}",  # {dict(recorder.counts)}')
