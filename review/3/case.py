"""Case 3: an operator sends a configuration in which a route names a service that does not exist."""

import asyncio
import json
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
    call,
    configuration,
    play,
    request,
    route,
    service,
)

HOST = "shop.example"
CONFIG_APPLY_S = 2.5
OK, BAD_REQUEST, SERVER_ERROR = 200, 400, 500


def wanted(version: int, target: str) -> dict[str, object]:
    """Return a configuration whose first route leads to that service."""
    routes = [route("/a/", target, "non_idempotent"), route("/b/", "alpha")]
    return configuration(version, HOST, [service("alpha", sharded=False)], routes)


async def send(record: Record, gateway: Gateway, sent: dict[str, object]) -> int | None:
    """Send a configuration to each control member until one gives a clear answer; return its status."""
    body = json.dumps(sent).encode()
    headers = {"Host": "control", "Content-Type": "application/json"}
    for machine in gateway.of_role("core") * 5:
        address = gateway.control_address(machine)
        answer = await call(address, "POST", "/api/configuration/replace", headers, body)
        text = f"{answer[0]} {answer[2].decode()[:200]}" if answer else "no answer"
        record.write(f"operator sends {sent['config_version']} to {machine.name}: {text}")
        if answer and answer[0] < SERVER_ERROR:
            return answer[0]
        await asyncio.sleep(0.2)
    return None


async def served(record: Record, gateway: Gateway, prefix: str) -> int:
    """Send 20 requests and return how many were answered with success."""
    address = gateway.front_address(gateway.of_role("edge")[0])
    statuses = [await request(record, address, HOST, f"{prefix}x", method="POST") for _ in range(20)]
    record.write(f"of 20 requests to {prefix}, answered: {statuses}")
    return sum(status == OK for status in statuses)


async def script(record: Record, folder: Path) -> int:
    """Play the case and return its result."""
    gateway = Gateway(record, folder, controls=3, edges=1)
    servers = [
        Server(record, "alpha", gateway.other_address(), gateway.zones[number], sharded=False) for number in range(3)
    ]
    platform_address = gateway.other_address()
    platform = Platform(record, platform_address, servers, crashed_listed_s=3.0)
    try:
        for server in servers:
            await server.start()
        await platform.start()
        await gateway.start({machine.name: platform_address for machine in gateway.machines})
        await gateway.replace(wanted(1, "alpha"))
        await gateway.wait_until_ready()
        await asyncio.sleep(2)
        if await served(record, gateway, "/a/") < 20:  # noqa: PLR2004
            raise CouldNotRunError("the route is not served before the trouble")
        if await send(record, gateway, wanted(2, "nobody")) != BAD_REQUEST:
            raise CouldNotRunError("a service that isn't in the table was expected to be refused")
        status = await send(record, gateway, wanted(3, "" if TROUBLE else "alpha"))
        if status is None:
            raise CouldNotRunError("no clear answer to the configuration")
        await asyncio.sleep(CONFIG_APPLY_S)
        count = await served(record, gateway, "/a/")
        await served(record, gateway, "/b/")
        return judge(record, status, count, await shown_version(record, gateway))
    finally:
        await gateway.stop()


async def shown_version(record: Record, gateway: Gateway) -> str | None:
    """Return the version that the operator reads back."""
    for machine in gateway.of_role("core"):
        address = gateway.control_address(machine)
        answer = await call(address, "GET", "/api/configuration/show", {"Host": "control"})
        if answer and answer[0] == OK:
            version: str = json.loads(answer[2])["config_version"]
            record.write(f"operator reads version {version} from {machine.name}")
            return version
    return None


def judge(record: Record, status: int, count: int, version: str | None) -> int:
    """Return whether something invalid was acknowledged or is in force."""
    record.write(f"version 3: answered {status}; afterwards {count} of 20 requests served; version {version} is shown")
    if not TROUBLE:
        return HELD
    invalid_acknowledged, invalid_in_force = status == OK, version == "00000003"
    if invalid_acknowledged or invalid_in_force:
        record.write("CONFIG: a configuration whose route names no service of its table was acknowledged")
        return BROKEN
    return HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, script)
