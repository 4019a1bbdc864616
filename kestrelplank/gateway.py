"""The gateway's programs: `python -m kestrelplank.gateway COMMAND`.

Usage:
  gateway edge [--settings=FILE] [--level=LEVEL] [--trace=N]
  gateway control [--settings=FILE] [--level=LEVEL]
  gateway rehearse [--requests=N] [--level=LEVEL] [--json]
  gateway status ADDRESS [--json]
  gateway replace ADDRESS FILE [--wait=SECONDS] [--json]
  gateway check (--settings=FILE | --configuration=FILE)
  gateway diff OLD NEW [--json]
  gateway (-h | --help)

Commands:
  edge       Carry the traffic of clients on this edge machine.
  control    Serve control on this core machine.
  rehearse   Play a small gateway on loopback through losses, with stand-ins for all others.
  status     What a control member sees: who counts and leads, how far it is, edges, versions, lines.
  replace    Send a configuration to a control member, and wait until all that are in session have it.
  check      Say whether a file can be used.
  diff       What differs between two configurations, route by route.

Options:
  --settings=FILE       The settings file; else the one that KESTRELPLANK_SETTINGS names.
  --configuration=FILE  A configuration as the operator sends it.
  --level=LEVEL         What is logged [default: INFO].
  --trace=N             Log one request in N with its tries, by X-Attempt-Id; 0 for none [default: 0].
  --wait=SECONDS        How long to wait for the last one [default: 5].
  --requests=N          Requests that clients send [default: 300].
  --json                Print one JSON object.

Exit codes: 0 done; 1 done and found wanting, or an address can't be listened at; 2 what was given can't be used.
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__" and sys.argv[1:2] in (["edge"], ["control"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # settings may change while we start: no reason to end

import asyncio
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from docopt import DocoptExit, docopt

if __name__ == "__main__":  # before all that loads pyserde or httpcore; who imports this module keeps what it has
    from kestrelplank.settings import skip_unused_libraries  # noqa: F401
from kestrelplank.settings import platform
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.json_logging import configure_json_logging

if TYPE_CHECKING:
    from kestrelplank.control.status import MemberStatus, ServiceStatus


def read_configuration(path: str) -> Any:
    """The configuration in that file; InvalidSettingsError, in one line, where it is none."""
    from kestrelplank.configuration.parsing import parse_configuration

    try:
        found = parse_configuration(Path(path).read_bytes())
    except OSError as err:
        raise InvalidSettingsError(f"{path}: {err.strerror}") from err
    if not found.value_or(None):
        raise InvalidSettingsError(f"{path}: {found.failure()}")
    return found.unwrap()


def check(path: str) -> int:
    """Whether a configuration file is valid; one line either way."""
    configuration = read_configuration(path)
    routes = sum(map(len, configuration.routes_by_host.values()))
    print(f"{path}: version {configuration.key.version:08x}, {routes} routes, {len(configuration.services)} services")
    return 0


def diff(old: str, new: str, as_json: bool) -> int:
    """What `new` changes; 1 where it changes anything."""
    import json

    from kestrelplank.configuration.differences import differences

    found = differences(read_configuration(old), read_configuration(new))
    if as_json:
        print(json.dumps([change._asdict() for change in found]))
    else:
        for change in found:
            print(change)
    return 1 if found else 0


def rehearse(requests: str, level: str, as_json: bool) -> int:
    """A small gateway on loopback through losses; prints what was seen, and fails where a rule was broken."""
    import json

    from kestrelplank.rehearsal.gateway_rehearsal import play

    if not requests.isdecimal():
        raise InvalidSettingsError(f"--requests: {requests!r} is no whole number")
    seen = play(int(requests), log_level=level)
    if as_json:
        print(json.dumps(seen))
    else:
        for name, value in seen.items():
            print(f"{name.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}")
    broken = not (seen["ready"] and seen["replaced"]) or any(
        seen[rule] for rule in ("run_twice", "promised_and_ran", "held_twice")
    )
    return 1 if broken else 0


async def call(address: str, method: bytes, path: bytes, body: bytes = b"") -> tuple[int, bytes]:
    """One call to a control member: status and body. Raises OSError or TimeoutError where it does not answer."""
    from kestrelplank.http.connection import dial

    headers = [
        (b"Host", b"control"),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    async with asyncio.timeout(10):
        line = await dial(platform.parse_address(address, "ADDRESS"), 2)
        try:
            answer = await line.ask(method, path, headers, body)
        finally:
            line.reset()
    return answer.status, answer.body


async def seen_by(address: str) -> MemberStatus:
    """What the control member at that address sees."""
    import msgspec

    from kestrelplank.control.status import MemberStatus

    _, body = await call(address, b"GET", b"/api/status")
    return msgspec.json.decode(body, type=MemberStatus)


def behind_by(seen: MemberStatus, version: int) -> list[str]:
    """Who in session with that member has not got this version yet: edge machines, and, if it leads, other members."""
    edges = {name: edge.version for name, edge in seen.edges.items()}
    found = [name for name, held in edges.items() if held is None or int(held, 16) < version]
    found += [name for name, peer in seen.peers.items() if peer.heard_s is not None and peer.match < seen.commit]
    if seen.in_force is None or int(seen.in_force, 16) < version:
        found.append(seen.member)
    return sorted(found)


def replace(address: str, path: str, wait: str, as_json: bool) -> int:
    """Sends a configuration and waits until each edge and member in session has it; 1 where some have not by then."""
    import json
    import time

    configuration = read_configuration(path)
    try:
        until = time.monotonic() + float(wait)
    except ValueError as err:
        raise InvalidSettingsError(f"--wait: {wait!r} is no number of seconds") from err

    async def send() -> tuple[int, bytes, list[str]]:
        answered, body = await call(address, b"POST", b"/api/configuration/replace", configuration.text)
        behind: list[str] = []
        while answered == 200:
            behind = behind_by(await seen_by(address), configuration.key.version)
            if not behind or time.monotonic() >= until:
                break
            await asyncio.sleep(0.1)
        return answered, body, behind

    answered, body, behind = asyncio.run(send())
    if as_json:
        print(json.dumps({"status": answered, "answer": json.loads(body), "behind": behind}))
    elif answered != 200:
        print(f"{address}: refused, {answered}: {json.loads(body).get('why')}")
    elif not json.loads(body)["in_force"]:
        print(f"{address}: version {configuration.key.version:08x} changed nothing: it is not above the one in force")
        return 1
    else:
        print(
            f"{address}: version {configuration.key.version:08x} is acknowledged; "
            + (f"behind: {', '.join(behind)}" if behind else "all in session have it")
        )
    return 0 if answered == 200 and not behind else 1


def status(address: str, as_json: bool) -> int:
    """Prints what the control member at that address sees."""
    import msgspec

    seen = asyncio.run(seen_by(address))
    if as_json:
        print(msgspec.json.encode(seen).decode())
        return 0
    print(f"member {seen.member}: {seen.state}{', stopping' if seen.stopping else ''}")
    print(f"term {seen.term}: led by {seen.leader or 'nobody known'}{', this member' if seen.leads else ''}")
    print(f"epoch {seen.epoch}: {', '.join(seen.voters) or 'nobody known'} count")
    if seen.standbys:
        print(f"standing by: {', '.join(seen.standbys)}")
    print(f"log: {seen.last} entries, {seen.commit} committed, {seen.applied} applied")
    print(f"in force: {seen.in_force}")
    print(f"servers: {seen.servers}, list {seen.list_age_s} s old")
    for name, peer in seen.peers.items():
        print(f"peer {name}: has {peer.match}, last word {peer.heard_s} s ago{'' if peer.caught_up else ', behind'}")
    for name, edge in seen.edges.items():
        print(f"edge {name}: version {edge.version}, last word {edge.heard_s} s ago")
    for name, service in seen.services.items():
        print_service(name, service)
    return 0


def print_service(name: str, service: ServiceStatus) -> None:
    """A sharded service as that member sees it."""
    print(f"{name}: record {service.record} of term {service.term}{', decided here' if service.decides else ''}")
    for line in service.lines:
        print(
            f"  {line.first:5}-{line.last:5} {line.state:8} {line.server} fence {line.fence}"
            f" runs out in {line.runs_out_s} s"
        )
    for server, parts in service.learnt.items():
        print(f"  learnt of {server}: {', '.join(map(str, parts))}")


def main(argv: list[str] | None = None) -> int:
    """Runs a program until it is told to stop. Returns the exit code."""
    try:
        words = docopt(__doc__, argv)
    except DocoptExit as err:
        print(err, file=sys.stderr)
        return 2
    try:
        if words["rehearse"]:
            level = "WARNING" if words["--level"] == "INFO" else words["--level"].upper()
            return rehearse(words["--requests"], level, words["--json"])
        if words["status"]:
            return status(words["ADDRESS"], words["--json"])
        if words["replace"]:
            return replace(words["ADDRESS"], words["FILE"], words["--wait"], words["--json"])
        if words["diff"]:
            return diff(words["OLD"], words["NEW"], words["--json"])
        if words["check"] and words["--configuration"]:
            return check(words["--configuration"])
        if words["--settings"]:
            os.environ[platform.SETTINGS_VARIABLE] = words["--settings"]
        settings = platform.load_from_environment()
        if words["check"]:
            print(f"{words['--settings']}: {settings.local_system.node_name}")
            return 0
        configure_json_logging(settings.local_system.node_name, words["--level"].upper())
        if words["edge"]:
            if not words["--trace"].isdecimal():
                raise InvalidSettingsError(f"--trace: {words['--trace']!r} is no whole number")
            from kestrelplank.edge.program import run as carry

            return asyncio.run(carry(settings, int(words["--trace"])))
        from kestrelplank.control.program import run

        return asyncio.run(run(settings))
    except (InvalidSettingsError, ValueError) as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return 2
    except (OSError, TimeoutError) as err:
        print(f"kestrelplank: {words['ADDRESS'] or ''} {err or 'no answer'}".replace(":  ", ": "), file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
