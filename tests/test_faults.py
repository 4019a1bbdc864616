"""The whole network side against a relay that keeps the store's meaning and fails in every way the protocol has."""

import json
from random import Random

import pytest
from parties import MS, Kit, StubServer, attach, instance, message, node_list, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.decode import Ids, read_settings, text
from kestrelplank.interface import PolicySettings
from kestrelplank.policy import Policy

NODES, PROXIES, SLICES = [f"s-{n}" for n in range(6)], 4, 12
CONF = {
    "Areas": ["a"],
    "Categories": [{"Name": "look"}],
    "Tick": 4.0,
    "Specifics": {
        "Shards": SLICES,
        "DataPlaneSize": PROXIES,
        "MostWaiting": 4000.0,
        "EgressPerS": 4000.0,
        "Envelope": 8.0,
        "BaseMode": 1,
    },
    "Rules": {"StopSendingWithin": 1500.0, "WarmUp": 1000.0, "ColdFrom": 0.2, "FallMultiple": 3.0},
}


class Relay(StubServer):
    def __init__(self, kit, seed):
        super().__init__(kit, self.asked)
        self.random, self.calm, self.streams, self.away_until = Random(seed), False, [], 0
        self.out = {proxy: set() for proxy in range(PROXIES)}  # what each proxy is kept from, joined or not
        self.joined = set(range(PROXIES))
        self.lines = {number: {self.random.choice(NODES): 1.0} for number in range(SLICES)}
        self.held = set(range(SLICES))

    def asked(self, visitor, path, body):
        if self.kit.loop.now() < self.away_until:
            visitor.connection.close("away")
            return
        if path == "/api/stream":
            visitor.begin_stream()
            lines = [attach(proxy, cold=False) for proxy in sorted(self.joined)]
            for number in sorted(self.held):
                lines += self.giving(number)
            data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
            half = self.random.randrange(len(data) + 1)  # in pieces
            visitor.send(*(piece for piece in (data[:half], data[half:]) if piece))
            self.streams.append(visitor)
            return
        fault = (
            "none"
            if self.calm or self.random.random() < 0.5
            else self.random.choice(["lost", "lost and broken", "silent", "broken", "unreadable"])
        )
        ops = json.loads(body)["ops"]
        if not fault.startswith("lost"):
            for op in ops:
                self.take(op)
        if fault == "none":
            visitor.reply({"ok_count": len(ops)})
        elif fault.endswith("broken"):
            visitor.connection.close("broken off")
        elif fault == "unreadable":
            visitor.reply(b"}{")

    def take(self, op):
        if op["verb"] == "put" and op["cluster"] in self.held:
            self.lines[op["cluster"]].pop(op["endpoint"], None)
            if op["w"]:
                self.lines[op["cluster"]][op["endpoint"]] = op["w"]
        elif op["verb"] in ("eject", "uneject"):
            for proxy in sorted(self.joined):
                (self.out[proxy].add if op["verb"] == "eject" else self.out[proxy].discard)(op["endpoint"])
        elif op["verb"] == "fence":
            self.tell(*(message("done", node=proxy, nonce=op["stamp"], latency=1.0) for proxy in sorted(self.joined)))

    def tell(self, *lines):
        self.streams = [stream for stream in self.streams if stream.closed_because is None]
        for stream in self.streams:
            stream.send(*lines)

    def giving(self, number):
        return [
            message("owner", shard=number, set=True),
            *(message("entry", shard=number, endpoint=name, w=weight) for name, weight in self.lines[number].items()),
        ]

    def trouble(self):
        proxy, number = self.random.randrange(PROXIES), self.random.randrange(SLICES)
        kind = self.random.choice(["break", "away", "leave", "join", "take", "take", "give", "give"])
        if kind == "away":
            self.away_until = self.kit.loop.now() + 300 * MS
            for stream in self.streams:
                stream.connection.close("broken off")
            for gone in self.random.sample(range(SLICES), 3):  # to other hands and back, unseen
                self.lines[gone] = {self.random.choice(NODES): 1.0}
            for gone in self.random.sample(range(PROXIES), 2):  # a stream ended and dialled anew, unseen
                self.out[gone] ^= {self.random.choice(NODES)}
        elif kind == "break" and self.streams:
            self.random.choice(self.streams).connection.close("broken off")
        elif kind == "leave" and proxy in self.joined:
            self.joined.discard(proxy)
            self.tell(message("detach", node=proxy))
        elif kind == "join" and proxy not in self.joined:
            self.join(proxy)
        elif kind == "take" and number in self.held:
            self.held.discard(number)
            self.tell(message("owner", shard=number, set=False))
            self.lines[number] = {self.random.choice(NODES): 1.0}  # another conductor's orders
        elif kind == "give" and number not in self.held:
            self.held.add(number)
            self.tell(*self.giving(number))

    def join(self, proxy):
        self.joined.add(proxy)
        self.tell(attach(proxy, cold=False))


@pytest.mark.parametrize("seed", range(3))
def test_after_any_faults_module_and_relay_agree(seed):
    kit = Kit()
    relay, random = Relay(kit, seed), Random(seed)
    states = {name: "in_service" for name in NODES}
    known, version = node_list(1, *(instance(name) for name in NODES), reset=True), 1

    def agent_does(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
        whole = node_list(version, *(instance(name, states[name]) for name in NODES), reset=True)
        visitor.send(whole) if "follow" in path else visitor.reply(whole)

    agent, ids = StubServer(kit, agent_does), Ids(text)
    found = read_settings(CONF, ids, "settings")

    def on_event(event):
        conductor.on_event(event)

    orders = OrderQueue(kit.loop, kit.pool, kit.counters, relay.at, ids, ["look"], 65_530)
    discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, ids, on_event)
    probes = HealthChecks(kit.loop, kit.pool, kit.counters, {}, False, MS, False, on_event)
    policy = Policy(kit.loop.now(), seed, PolicySettings.from_mapping(found))
    conductor = RoundRunner(kit.loop, kit.counters, policy, found["tick"], orders, discovery, probes, None)
    discovery.start(known)
    told = ProxyUpdates(kit.loop, kit.pool, kit.counters, relay.at, ids, PROXIES, SLICES, orders, on_event)
    end = kit.loop.now() + 2500 * MS
    due = kit.loop.now()

    def chaos():
        nonlocal due, version
        while kit.loop.now() >= due:
            due += 40 * MS
            relay.trouble()
            if random.random() < 0.05:
                states[random.choice(NODES[:3])] = "terminating"
                version += 1
        return kit.loop.now() >= end

    wait_until(kit.loop, chaos)
    relay.calm = True
    for proxy in sorted(set(range(PROXIES)) - relay.joined):
        relay.join(proxy)

    def agree():
        sent = {
            number: {ids.node_ids[node]: weight for node, weight in kept.ordered.items()}
            for number, kept in policy.slices.items()
        }
        want = {
            number: {ids.node_ids[node]: weight for node, weight in kept.desired.items()}
            for number, kept in policy.slices.items()
        }
        out = {
            name for name in NODES if ids.nodes.get(name) in policy.nodes and policy.nodes[ids.nodes[name]].withdrawn
        }
        drained = {name for name in NODES if states[name] == "terminating"}
        return (
            sent == want == {number: relay.lines[number] for number in relay.held}
            and drained <= out
            and all(relay.out[proxy] == out for proxy in range(PROXIES))
            and not orders._queue
        )

    try:
        wait_until(kit.loop, agree)
        later = kit.loop.now() + 500 * MS  # and nothing that was under way undoes it
        wait_until(kit.loop, lambda: kit.loop.now() > later)
        wait_until(kit.loop, agree)
    finally:
        for part in (told, orders, discovery, probes, relay, agent):
            part.close()
        kit.loop.close()
