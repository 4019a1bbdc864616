"""`gateway status`: what a control member sees."""

import asyncio

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.control.status import MemberStatus, ServiceStatus
from kestrelplank.gateway.control_client import fetch_status


def status(address: str, *, as_json: bool) -> ExitCode:
    """Print what the control member at `address` sees; raises as `control_client.call` does."""
    seen = asyncio.run(fetch_status(address))
    if as_json:
        print_json(seen)
        return ExitCode.DONE
    print_member(seen)
    for name, peer in seen.peers.items():
        behind = "" if peer.caught_up else ", behind"
        print(f"peer {name}: match index {peer.match_index}, last heard {peer.last_heard_s} s ago{behind}")
    for name, edge in seen.edges.items():
        print(f"edge {name}: configuration {edge.configuration_version}, last heard {edge.last_heard_s} s ago")
    for name, service in seen.services.items():
        print_service(name, service)
    return ExitCode.DONE


def print_member(seen: MemberStatus) -> None:
    """Print the member itself: who leads and counts, its log, the version in force, and the list of servers."""
    print(f"member {seen.member}: {seen.state}{', stopping' if seen.stopping else ''}")
    print(f"term {seen.term}: led by {seen.leader or 'nobody known'}{', this member' if seen.leads else ''}")
    print(f"epoch {seen.epoch}: voters {', '.join(seen.voters) or 'not known'}")
    if seen.standbys:
        print(f"standbys: {', '.join(seen.standbys)}")
    print(f"log: last index {seen.last_index}, commit index {seen.commit_index}, applied index {seen.applied_index}")
    print(f"configuration in force: {seen.configuration_version}")
    print(f"servers: {seen.server_count}, list {seen.server_list_age_s} s old")


def print_service(name: str, service: ServiceStatus) -> None:
    """Print a sharded service as that member sees it."""
    assigned_here = ", assigned here" if service.assigned_here else ""
    print(f"{name}: record {service.record_number} of term {service.record_term}{assigned_here}")
    for key_range in service.key_ranges:
        print(
            f"  {key_range.first:5}-{key_range.last:5} {key_range.state:8} {key_range.server}"
            f" fencing token {key_range.fencing_token}, lease ends in {key_range.lease_remaining_s} s"
        )
    for server, speeds in service.learned_speeds.items():
        print(f"  learned speeds of {server}: {', '.join(map(str, speeds))}")
