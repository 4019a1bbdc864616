"""What an edge machine knows of the rest of the gateway, from its sessions with control members."""

from enum import Enum
from typing import assert_never

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.key_range_table import KeyRangeTable
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesDelta,
    KeyRangesUpdate,
    MemberHeartbeat,
    ToEdge,
)
from kestrelplank.transport.server_list import ServerList

SESSION_TIMEOUT_NS = 1500 * MILLISECOND  # a session on which nothing comes for so long is ended and begun anew
VOUCH_MAX_AGE_NS = SECOND  # a vouch counts only in answer to a heartbeat that was sent no longer ago
SEED_FALLBACK_DELAY_NS = SECOND  # from the last message of any member until the seeds are dialled, too


class Change(Enum):
    """The part of the view that a message has changed."""

    CONFIGURATION = "configuration"
    KEY_RANGES = "key ranges"
    SERVERS = "servers"
    MEMBERS = "members"


class EdgeView:
    """One edge machine's view: members, the configuration in force, servers, who holds which keys. No I/O.

    All of it is in memory only: a process that starts again is sent it in full.

    A current member *vouches* for the configuration held here when it confirms that none newer is in force.

    Invariants, each with the test in `tests/transport/test_edge_view.py` that holds it:

    - While a process runs nothing goes back to an older version: neither configuration, nor key ranges, nor membership
      (`test_a_process_never_goes_back_to_older_state`, `test_newcomers_are_found_and_those_that_left_let_go_of`).
    - The machine is ready only once a current member of the newest membership has vouched, in answer to a recent
      heartbeat, for the very configuration held (`test_ready_is_who_holds_what_a_current_member_vouches_for`,
      `test_a_current_member_that_does_not_count_any_more_vouches_for_nothing`,
      `test_a_vouch_that_a_freeze_or_a_cut_has_held_up_counts_for_nothing`); and it stays ready
      (`test_who_was_ready_stays_so_while_it_hears_that_a_newer_configuration_comes`).
    - A difference of key ranges is applied only to the version that it was made from
      (`test_changes_count_only_on_top_of_the_version_that_they_differ_from`).

    :param name: this machine's name.
    :param seeds: control addresses, dialled until the first member says who the members are, and again while no member
        answers.
    """

    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        self.name, self.seeds = name, seeds
        self.members: tuple[str, ...] = ()  # control addresses of the newest membership known
        self.epoch, self.term, self.leader = -1, -1, ""
        self.configuration: Configuration | None = None
        self.key_ranges: dict[str, KeyRangeTable] = {}  # by service
        self.servers = ServerList()
        self.edge_count = 1  # edge machines that share servers, this one included
        self._member_heard_at: int | None = None
        self._vouched = False  # whether a current member has ever vouched for the configuration held here

    def receive(self, now: int, member: str, message: ToEdge) -> Change | None:
        """Take a message of the member at that address; return what has changed by it, if anything."""
        if member in self.members:
            self._member_heard_at = now
        match message:
            case MemberHeartbeat():
                return self._handle_heartbeat(now, member, message)
            case ConfigurationUpdate():
                return self._handle_configuration(message)
            case KeyRangesUpdate():
                return self._handle_key_ranges(message)
            case KeyRangesDelta():
                return self._handle_key_ranges_delta(message)
            case ServerListUpdate():
                return self._handle_server_list(now, message)
            case _:
                assert_never(message)

    def _handle_heartbeat(self, now: int, member: str, heartbeat: MemberHeartbeat) -> Change | None:
        """Take who the members are, who leads, and whether what is held here is the newest in force."""
        if heartbeat.epoch < self.epoch:
            return None  # of a former membership: it may not vouch, and knows less than we do
        self.edge_count = max(1, heartbeat.edge_count)
        if heartbeat.term >= self.term and heartbeat.leader:
            self.term, self.leader = heartbeat.term, heartbeat.leader
        changed = bool(heartbeat.voters) and (heartbeat.epoch > self.epoch or not self.members)
        if changed:
            self.epoch, self.members = heartbeat.epoch, heartbeat.voters
        if member in self.members:
            self._member_heard_at = now  # `receive` did not, where this very heartbeat made it a member
            if self._vouches(now, heartbeat):
                self._vouched = True
        return Change.MEMBERS if changed else None

    def _vouches(self, now: int, heartbeat: MemberHeartbeat) -> bool:
        """Whether a member confirms by this that no newer configuration than the one held here is in force."""
        recent = now - heartbeat.heartbeat_sent_at <= VOUCH_MAX_AGE_NS
        if not (heartbeat.is_current and recent) or self.configuration is None:
            return False
        in_force = heartbeat.configuration_version
        return in_force is None or in_force <= self.configuration.key.version

    def _handle_configuration(self, update: ConfigurationUpdate) -> Change | None:
        if self.configuration is not None and update.version <= self.configuration.key.version:
            return None
        configuration = parse_configuration(update.text).value_or(None)
        if configuration is None:
            return None
        self.configuration = configuration
        return Change.CONFIGURATION

    def _handle_key_ranges(self, update: KeyRangesUpdate) -> Change | None:
        table = self.key_ranges.get(update.service)
        if table is not None and update.version <= table.version:
            return None
        # Ranges that are leaving name no server; they replace what the record says of their keys.
        recorded = KeyRangeTable(update.version, update.key_ranges)
        self.key_ranges[update.service] = recorded.updated(update.version, update.leaving)
        return Change.KEY_RANGES

    def _handle_key_ranges_delta(self, delta: KeyRangesDelta) -> Change | None:
        table = self.key_ranges.get(delta.service)
        if table is None or table.version != delta.base_version:
            return None  # what came between is missing, or this is known already: our next heartbeat says what we have
        self.key_ranges[delta.service] = table.updated(delta.version, delta.key_ranges)
        return Change.KEY_RANGES

    def _handle_server_list(self, now: int, update: ServerListUpdate) -> Change | None:
        return Change.SERVERS if self.servers.update(now, update.age_ns, update.entries) else None

    def heartbeat(self, now: int) -> EdgeHeartbeat:
        """Return the versions that this machine has; members answer with what it lacks."""
        return EdgeHeartbeat(
            self.name,
            self.configuration.key.version if self.configuration else None,
            {service: table.version for service, table in self.key_ranges.items()},
            self.servers.digest() if self.servers.fetched_at is not None else None,
            now,
        )

    def ready(self) -> bool:
        """Whether requests may be taken.

        A current member of the newest membership has vouched for the configuration held here, and a list of servers has
        come. Once ready it stays ready: what comes later is newer.
        """
        return self._vouched and self.servers.fetched_at is not None

    def addresses_to_dial(self, now: int) -> tuple[str, ...]:
        """Return the control addresses to have sessions with: the members, and the seeds too if no member is heard."""
        if self._member_heard_at is not None and now - self._member_heard_at < SEED_FALLBACK_DELAY_NS:
            return self.members
        return tuple(dict.fromkeys((*self.members, *self.seeds)))

    def assigner_address(self, service: str) -> str | None:  # noqa: ARG002  # one member assigns for all services today
        """Return the address of the member that assigns that service's keys, None where it is not known."""
        return self.leader or None
