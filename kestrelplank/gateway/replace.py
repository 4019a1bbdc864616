"""`gateway replace`: sends a configuration to a control member, and waits until edges and members have it."""

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
class ReplaceResult:
    """The result of replacing the configuration.

    :param answer: the control member's answer.
    :param behind: edges and members in session that did not have the version at the end of the wait.
    """

    answer: MemberAnswer
    behind: list[str]

    @property
    def acknowledged(self) -> bool:
        """Whether the control member answered 200, which it also does for a version too low to come into force."""
        return self.answer.status == HTTP_OK

    @property
    def in_force(self) -> bool:
        """Whether the version is in force."""
        return self.acknowledged and bool(json.loads(self.answer.body)["in_force"])


def replace(address: str, path: str, wait_s: float, *, as_json: bool) -> ExitCode:
    """Send a configuration and print the outcome.

    Returns PROBLEM_FOUND if the configuration was refused or changed nothing, or if an edge or member is behind.

    :param wait_s: how long to wait for all edges and members in session.
    :raises InvalidSettingsError: the file is not a valid configuration; nothing is sent.
    """
    configuration = read_configuration(path)
    deadline_s = time.monotonic() + wait_s
    result = asyncio.run(_send(address, configuration, deadline_s))
    if as_json:
        _print_as_json(result)
    else:
        print(f"{address}: {_describe_outcome(configuration, result)}")
    return exit_code(result)


def exit_code(result: ReplaceResult) -> ExitCode:
    """Return DONE if the version is in force on all edges and members in session, otherwise PROBLEM_FOUND."""
    complete = result.in_force and not result.behind
    return ExitCode.DONE if complete else ExitCode.PROBLEM_FOUND


async def _send(address: str, configuration: Configuration, deadline_s: float) -> ReplaceResult:
    """Send the configuration, then poll the member's status until no node is behind or the wait is over."""
    answer = await call(address, b"POST", b"/api/configuration/replace", configuration.text)
    behind: list[str] = []
    while answer.status == HTTP_OK:
        behind = names_behind(await fetch_status(address), configuration.key.version)
        if not behind or time.monotonic() >= deadline_s:
            break
        await asyncio.sleep(STATUS_INTERVAL_S)
    return ReplaceResult(answer, behind)


def names_behind(status: MemberStatus, version: int) -> list[str]:
    """Return the nodes without this version: edges in session, the member itself and, if it leads, its peers."""
    names = [name for name, edge in status.edges.items() if _is_older(edge.configuration_version, version)]
    reachable = {name: peer for name, peer in status.peers.items() if peer.last_heard_s is not None}
    names += [name for name, peer in reachable.items() if peer.match_index < status.commit_index]
    if _is_older(status.configuration_version, version):
        names.append(status.member)
    return sorted(names)


def _is_older(version_text: str | None, version: int) -> bool:
    """Whether a version in hexadecimal digits is lower than that number; None (no version yet) is."""
    return version_text is None or int(version_text, 16) < version


def _print_as_json(result: ReplaceResult) -> None:
    """Print the member's answer and the names of the nodes that are behind."""
    answer = result.answer
    print_json({"status": answer.status, "answer": json.loads(answer.body), "behind": result.behind})


def _describe_outcome(configuration: Configuration, result: ReplaceResult) -> str:
    """Return the outcome as text: whether the configuration is in force, why not, and which nodes are behind."""
    version = f"{configuration.key.version:08x}"
    if not result.acknowledged:
        return f"refused, {result.answer.status}: {json.loads(result.answer.body).get('why')}"
    if not result.in_force:
        return f"version {version} changed nothing: it is not above the one in force"
    behind = result.behind
    rest = f"behind: {', '.join(behind)}" if behind else "all edges and members in session have it"
    return f"version {version} is acknowledged; {rest}"
