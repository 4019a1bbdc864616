"""Case 1: a sharded service leaves the configuration and comes back while its servers still hold their keys."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Gateway,
    Platform,
    Record,
    Server,
    configuration,
    double_holds,
    play,
    request,
    route,
    service,
)

HOST = "shop.example"
ALPHA_SERVERS, BETA_SERVERS = 6, 2
WARM_UP_S, ROLLBACK_AFTER_S, AFTER_S = 14.0, 1.0, 12.0
BOUND_S = 0.5  # RULES, OWNER: "hold the same keys for over half a second"


def with_alpha(version: int, **fields: object) -> dict[str, object]:
    """Return the configuration that the operator wants."""
    services = [service("alpha", sharded=True), service("beta", sharded=False)]
    return configuration(version, HOST, services, [route("/a/", "alpha", **fields), route("/b/", "beta")])


def without_alpha(version: int) -> dict[str, object]:
    """Return the configuration that drops the service with its route, by mistake."""
    return configuration(version, HOST, [service("beta", sharded=False)], [route("/b/", "beta")])


class Clients:
    """Clients that send requests to both routes; `served` and `sent` count them by route."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record, self._gateway = record, gateway
        self.sent = {"/a/": 0, "/b/": 0}
        self.served = {"/a/": 0, "/b/": 0}

    async def run(self, duration_s: float) -> None:
        """Send 45 requests a second for that time; a few busy keys lie close to one another, as the pages say."""
        tasks = []
        end = self._record.now() + duration_s
        while self._record.now() < end:
            prefix = "/a/" if random.random() < 0.85 else "/b/"  # noqa: PLR2004
            key = random.randrange(200) if random.random() < 0.5 else random.randrange(65536)  # noqa: PLR2004
            tasks.append(asyncio.create_task(self._one(prefix, key)))
            await asyncio.sleep(1 / 45)
        await asyncio.gather(*tasks)

    async def _one(self, prefix: str, key: int) -> None:
        edge = random.choice(self._gateway.of_role("edge"))
        self.sent[prefix] += 1
        keyed = key if prefix == "/a/" else None
        status = await request(self._record, self._gateway.front_address(edge), HOST, f"{prefix}x", keyed)
        self.served[prefix] += status == 200  # noqa: PLR2004


async def script(record: Record, folder: Path) -> int:
    """Play the case and return its result."""
    gateway = Gateway(record, folder, controls=3, edges=2)
    servers = [
        Server(record, "alpha", gateway.other_address(), gateway.zones[number % 3], sharded=True)
        for number in range(ALPHA_SERVERS)
    ] + [
        Server(record, "beta", gateway.other_address(), gateway.zones[number % 3], sharded=False)
        for number in range(BETA_SERVERS)
    ]
    platform_address = gateway.other_address()
    platform = Platform(record, platform_address, servers, crashed_listed_s=3.0)
    try:
        for server in servers:
            await server.start()
        await platform.start()
        await gateway.start({machine.name: platform_address for machine in gateway.machines})
        await gateway.replace(with_alpha(1))
        await gateway.wait_until_ready()
        before = Clients(record, gateway)
        await before.run(WARM_UP_S)
        record.write(f"before: sent {before.sent} served {before.served}")
        if before.served["/a/"] < before.sent["/a/"] // 2:
            raise CouldNotRunError("alpha is not served before the trouble")
        if double_holds(servers, BOUND_S):
            raise CouldNotRunError("keys were held twice before the trouble")
        await gateway.replace(without_alpha(2) if TROUBLE else with_alpha(2, timeout_s=1.9))
        await asyncio.sleep(ROLLBACK_AFTER_S)
        await gateway.replace(with_alpha(3))
        after = Clients(record, gateway)
        await after.run(AFTER_S)
        record.write(f"after: sent {after.sent} served {after.served}")
        return judge(record, servers)
    finally:
        await gateway.stop()


def judge(record: Record, servers: list[Server]) -> int:
    """Write down where two servers held the same keys for longer than the rule's bound."""
    found = double_holds(servers, BOUND_S)
    for double in found[:40]:
        one, other = double.lives
        record.write(
            f"OWNER: {one} and {other} both held keys {double.first}-{double.last}"
            f" from {double.begins_at:.3f} to {double.ends_at:.3f}, for {double.ends_at - double.begins_at:.3f} s"
        )
    return BROKEN if found else HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, script)
