"""Guards against an assigner that disagrees with its relay after random faults of connections, calls and ownership."""

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
        super().__init__(kit, self.handle_request)
        self.random, self.without_faults, self.streams, self.unreachable_until = Random(seed), False, [], 0
        self.withdrawn = {proxy: set() for proxy in range(PROXIES)}  # withdrawn nodes by proxy, joined or not
        self.joined = set(range(PROXIES))
        self.endpoints = {number: {self.random.choice(NODES): 1.0} for number in range(SLICES)}
        self.owned = set(range(SLICES))

    def handle_request(self, visitor, path, body):
        if self.kit.loop.now() < self.unreachable_until:
            visitor.connection.close("away")
            return
        if path == "/api/stream":
            visitor.begin_stream()
            lines = [attach(proxy, cold=False) for proxy in sorted(self.joined)]
            for number in sorted(self.owned):
                lines += self.assignment(number)
            data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
            half = self.random.randrange(len(data) + 1)  # sent in two chunks
            visitor.send(*(piece for piece in (data[:half], data[half:]) if piece))
            self.streams.append(visitor)
            return
        fault = (
            "none"
            if self.without_faults or self.random.random() < 0.5
            else self.random.choice(["lost", "lost and broken", "silent", "broken", "unreadable"])
        )
        ops = json.loads(body)["ops"]
        if not fault.startswith("lost"):
            for op in ops:
                self.execute(op)
        if fault == "none":
            visitor.reply({"ok_count": len(ops)})
        elif fault.endswith("broken"):
            visitor.connection.close("broken off")
        elif fault == "unreadable":
            visitor.reply(b"}{")

    def execute(self, op):
        if op["verb"] == "put" and op["cluster"] in self.owned:
            self.endpoints[op["cluster"]].pop(op["endpoint"], None)
            if op["w"]:
                self.endpoints[op["cluster"]][op["endpoint"]] = op["w"]
        elif op["verb"] in ("eject", "uneject"):
            for proxy in sorted(self.joined):
                (self.withdrawn[proxy].add if op["verb"] == "eject" else self.withdrawn[proxy].discard)(op["endpoint"])
        elif op["verb"] == "fence":
            self.send_update(
                *(message("done", node=proxy, nonce=op["stamp"], latency=1.0) for proxy in sorted(self.joined))
            )

    def send_update(self, *lines):
        self.streams = [stream for stream in self.streams if stream.closed_because is None]
        for stream in self.streams:
            stream.send(*lines)

    def assignment(self, number):
        return [
            message("owner", shard=number, set=True),
            *(
                message("entry", shard=number, endpoint=name, w=weight)
                for name, weight in self.endpoints[number].items()
            ),
        ]

    def inject_fault(self):
        proxy, number = self.random.randrange(PROXIES), self.random.randrange(SLICES)
        kind = self.random.choice(["break", "away", "leave", "join", "take", "take", "give", "give"])
        if kind == "away":
            self.unreachable_until = self.kit.loop.now() + 300 * MS
            for stream in self.streams:
                stream.connection.close("broken off")
            for changed in self.random.sample(range(SLICES), 3):  # another assigner owned these slices meanwhile
                self.endpoints[changed] = {self.random.choice(NODES): 1.0}
            for changed in self.random.sample(range(PROXIES), 2):  # these proxies reconnected meanwhile
                self.withdrawn[changed] ^= {self.random.choice(NODES)}
        elif kind == "break" and self.streams:
            self.random.choice(self.streams).connection.close("broken off")
        elif kind == "leave" and proxy in self.joined:
            self.joined.discard(proxy)
            self.send_update(message("detach", node=proxy))
        elif kind == "join" and proxy not in self.joined:
            self.join(proxy)
        elif kind == "take" and number in self.owned:
            self.owned.discard(number)
            self.send_update(message("owner", shard=number, set=False))
            self.endpoints[number] = {self.random.choice(NODES): 1.0}  # another assigner's orders
        elif kind == "give" and number not in self.owned:
            self.owned.add(number)
            self.send_update(*self.assignment(number))

    def join(self, proxy):
        self.joined.add(proxy)
        self.send_update(attach(proxy, cold=False))


@pytest.mark.parametrize("seed", range(3))
def test_assigner_and_relay_converge_after_random_faults(seed):
    kit = Kit()
    relay, random = Relay(kit, seed), Random(seed)
    states = {name: "in_service" for name in NODES}
    known, version = node_list(1, *(instance(name) for name in NODES), reset=True), 1

    def serve_discovery(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
        complete_list = node_list(version, *(instance(name, states[name]) for name in NODES), reset=True)
        visitor.send(complete_list) if "follow" in path else visitor.reply(complete_list)

    agent, ids = StubServer(kit, serve_discovery), Ids(text)
    settings = read_settings(CONF, ids, "settings")

    def on_event(event):
        runner.on_event(event)

    orders = OrderQueue(kit.loop, kit.pool, kit.counters, relay.at, ids, ["look"], 65_530)
    discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, ids, on_event)
    checks = HealthChecks(kit.loop, kit.pool, kit.counters, {}, False, MS, False, on_event)
    policy = Policy(kit.loop.now(), seed, PolicySettings.from_mapping(settings))
    runner = RoundRunner(kit.loop, kit.counters, policy, settings["tick"], orders, discovery, checks, None)
    discovery.start(known)
    updates = ProxyUpdates(kit.loop, kit.pool, kit.counters, relay.at, ids, PROXIES, SLICES, orders, on_event)
    end = kit.loop.now() + 2500 * MS
    due = kit.loop.now()

    def inject_faults_until_end():
        nonlocal due, version
        while kit.loop.now() >= due:
            due += 40 * MS
            relay.inject_fault()
            if random.random() < 0.05:
                states[random.choice(NODES[:3])] = "terminating"
                version += 1
        return kit.loop.now() >= end

    wait_until(kit.loop, inject_faults_until_end)
    relay.without_faults = True
    for proxy in sorted(set(range(PROXIES)) - relay.joined):
        relay.join(proxy)

    def is_consistent():
        sent = {
            number: {ids.node_ids[node]: weight for node, weight in state.ordered.items()}
            for number, state in policy.slices.items()
        }
        desired = {
            number: {ids.node_ids[node]: weight for node, weight in state.desired.items()}
            for number, state in policy.slices.items()
        }
        withdrawn = {
            name for name in NODES if ids.nodes.get(name) in policy.nodes and policy.nodes[ids.nodes[name]].withdrawn
        }
        drained = {name for name in NODES if states[name] == "terminating"}
        return (
            sent == desired == {number: relay.endpoints[number] for number in relay.owned}
            and drained <= withdrawn
            and all(relay.withdrawn[proxy] == withdrawn for proxy in range(PROXIES))
            and not orders._queue
        )

    try:
        wait_until(kit.loop, is_consistent)
        later = kit.loop.now() + 500 * MS  # messages in transit must not change the state
        wait_until(kit.loop, lambda: kit.loop.now() > later)
        wait_until(kit.loop, is_consistent)
    finally:
        for component in (updates, orders, discovery, checks, relay, agent):
            component.close()
        kit.loop.close()
