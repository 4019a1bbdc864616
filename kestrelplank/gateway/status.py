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
        print(f"peer {name}: has {peer.match}, last word {peer.heard_s} s ago{'' if peer.caught_up else ', behind'}")
    for name, edge in seen.edges.items():
        print(f"edge {name}: version {edge.version}, last word {edge.heard_s} s ago")
    for name, service in seen.services.items():
        print_service(name, service)
    return ExitCode.DONE


def print_member(seen: MemberStatus) -> None:
    """Print the member itself: who leads and counts, its log, the version in force, and the list of servers."""
    print(f"member {seen.member}: {seen.state}{', stopping' if seen.stopping else ''}")
    print(f"term {seen.term}: led by {seen.leader or 'nobody known'}{', this member' if seen.leads else ''}")
    print(f"epoch {seen.epoch}: {', '.join(seen.voters) or 'nobody known'} count")
    if seen.standbys:
        print(f"standing by: {', '.join(seen.standbys)}")
    print(f"log: {seen.last} entries, {seen.commit} committed, {seen.applied} applied")
    print(f"in force: {seen.in_force}")
    print(f"servers: {seen.servers}, list {seen.list_age_s} s old")


def print_service(name: str, service: ServiceStatus) -> None:
    """Print a sharded service as that member sees it."""
    print(f"{name}: record {service.record} of term {service.term}{', decided here' if service.decides else ''}")
    for key_range in service.lines:
        print(
            f"  {key_range.first:5}-{key_range.last:5} {key_range.state:8} {key_range.server}"
            f" fence {key_range.fence} runs out in {key_range.runs_out_s} s"
        )
    for server, speeds in service.learnt.items():
        print(f"  learnt of {server}: {', '.join(map(str, speeds))}")
