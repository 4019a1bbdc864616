"""`gateway status`: prints the status of a control member."""

import asyncio

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.control.status import MemberStatus, RoleStatus, ServiceStatus
from kestrelplank.control.usage_status import UsageStatus
from kestrelplank.gateway.control_client import fetch_status


def status(address: str, *, as_json: bool) -> ExitCode:
    """Print the status of the control member at `address`; raises the same errors as `control_client.call`."""
    member = asyncio.run(fetch_status(address))
    if as_json:
        print_json(member)
        return ExitCode.DONE
    print_member(member)
    for name, peer in member.peers.items():
        behind = "" if peer.caught_up else ", behind"
        print(f"peer {name}: match index {peer.match_index}, last heard {peer.last_heard_s} s ago{behind}")
    for name, edge in member.edges.items():
        behind = "" if edge.behind_s is None else f", behind for {edge.behind_s} s"
        print(f"edge {name}: configuration {edge.configuration_version}, last heard {edge.last_heard_s} s ago{behind}")
    for role in member.roles:
        print_role(role)
    for name, service in member.services.items():
        print_service(name, service)
    if member.usage is not None:
        print_usage(member.usage)
    return ExitCode.DONE


def print_member(member: MemberStatus) -> None:
    """Print the member's state, leader, voters, log, configuration version and server list."""
    print(f"member {member.member}: {member.state}{', stopping' if member.stopping else ''}")
    print(f"term {member.term}: led by {member.leader or 'an unknown member'}{', this member' if member.leads else ''}")
    print(f"epoch {member.epoch}: voters {', '.join(member.voters) or 'not known'}")
    if member.standbys:
        print(f"standbys: {', '.join(member.standbys)}")
    print(
        f"log: last index {member.last_index}, commit index {member.commit_index}, applied index {member.applied_index}"
    )
    print(f"configuration in force: {member.configuration_version}")
    print(f"servers: {member.server_count}, list {member.server_list_age_s} s old")


def print_role(role: RoleStatus) -> None:
    """Print who holds a singleton role."""
    holder = f"held by {role.holder} under token {role.token}" if role.holder else "never assigned"
    print(f"role {role.role}/{role.partition}: {holder}{', this member may act' if role.may_act else ''}")


def print_service(name: str, service: ServiceStatus) -> None:
    """Print the state of one sharded service."""
    assigned_here = ", assigned here" if service.assigned_here else ""
    print(f"{name}: record {service.record_number} of term {service.record_term}{assigned_here}")
    for key_range in service.key_ranges:
        print(
            f"  {key_range.first:5}-{key_range.last:5} {key_range.state:8} {key_range.server}"
            f" fencing token {key_range.fencing_token}, lease ends in {key_range.lease_remaining_s} s"
        )
    for server, speeds in service.learned_speeds.items():
        print(f"  learned speeds of {server}: {', '.join(map(str, speeds))}")


def print_usage(usage: UsageStatus) -> None:
    """Print which windows of usage are fixed and reported, and how late the oldest report is."""
    due = "nothing due" if usage.overdue_s is None else f"the oldest due for {usage.overdue_s} s"
    print(f"usage: fixed through window {usage.fixed_through}, reported through {usage.reported_through}, ", end="")
    print(f"{usage.unreported} unreported, {due}; {usage.edges} edges, {usage.late_counts} late counts")
