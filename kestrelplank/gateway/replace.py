"""`gateway replace`: sends a configuration to a control member, and waits until all in session have it."""

import asyncio
import json
import time
from dataclasses import dataclass

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.control.status import MemberStatus
from kestrelplank.gateway.check import read_configuration
from kestrelplank.gateway.control_client import MemberAnswer, call, fetch_status

HTTP_OK = 200
STATUS_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Replacement:
    """The outcome of a replace.

    :param answer: of the control member.
    :param behind: edges and members in session that did not have the version when the wait was over.
    """

    answer: MemberAnswer
    behind: list[str]

    @property
    def acknowledged(self) -> bool:
        """Whether the control member accepted the call; the version may be too low to change anything all the same."""
        return self.answer.status == HTTP_OK

    @property
    def in_force(self) -> bool:
        """Whether the version has come into force."""
        return self.acknowledged and bool(json.loads(self.answer.body)["in_force"])


def replace(address: str, path: str, wait_s: float, *, as_json: bool) -> ExitCode:
    """Send a configuration and print the outcome.

    PROBLEM_FOUND where it was refused, somebody is behind, or it changed nothing.

    :param wait_s: how long to wait until nobody is behind.
    :raises InvalidSettingsError: the file holds no valid configuration; then nothing is sent.
    """
    configuration = read_configuration(path)
    wait_until_s = time.monotonic() + wait_s
    replacement = asyncio.run(_send(address, configuration, wait_until_s))
    if as_json:
        _print_as_json(replacement)
    else:
        print(f"{address}: {_outcome(configuration, replacement)}")
    return exit_code(replacement)


def exit_code(replacement: Replacement) -> ExitCode:
    """Return DONE where the version is in force everywhere; else PROBLEM_FOUND."""
    complete = replacement.in_force and not replacement.behind
    return ExitCode.DONE if complete else ExitCode.PROBLEM_FOUND


async def _send(address: str, configuration: Configuration, wait_until_s: float) -> Replacement:
    """Send the configuration, then poll the member's status until nobody is behind or the wait is over."""
    answer = await call(address, b"POST", b"/api/configuration/replace", configuration.text)
    behind: list[str] = []
    while answer.status == HTTP_OK:
        behind = names_behind(await fetch_status(address), configuration.key.version)
        if not behind or time.monotonic() >= wait_until_s:
            break
        await asyncio.sleep(STATUS_INTERVAL_S)
    return Replacement(answer, behind)


def names_behind(status: MemberStatus, version: int) -> list[str]:
    """Return who has not got this version yet: edges in session, the member itself, and, if it leads, its peers."""
    names = [name for name, edge in status.edges.items() if _is_before(edge.configuration_version, version)]
    reachable = {name: peer for name, peer in status.peers.items() if peer.last_heard_s is not None}
    names += [name for name, peer in reachable.items() if peer.match_index < status.commit_index]
    if _is_before(status.configuration_version, version):
        names.append(status.member)
    return sorted(names)


def _is_before(held_version: str | None, version: int) -> bool:
    """Whether a version, in hexadecimal digits, is below that number; None, as none has come yet, is."""
    return held_version is None or int(held_version, 16) < version


def _print_as_json(replacement: Replacement) -> None:
    """Print the member's answer and who is behind."""
    answer = replacement.answer
    print_json({"status": answer.status, "answer": json.loads(answer.body), "behind": replacement.behind})


def _outcome(configuration: Configuration, replacement: Replacement) -> str:
    """Return for a person whether the configuration is in force, why not, and who is behind."""
    version = f"{configuration.key.version:08x}"
    if not replacement.acknowledged:
        return f"refused, {replacement.answer.status}: {json.loads(replacement.answer.body).get('why')}"
    if not replacement.in_force:
        return f"version {version} changed nothing: it is not above the one in force"
    behind = replacement.behind
    rest = f"behind: {', '.join(behind)}" if behind else "all in session have it"
    return f"version {version} is acknowledged; {rest}"
