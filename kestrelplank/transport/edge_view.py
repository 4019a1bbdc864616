"""An edge machine's state as received from the control members."""

from enum import Enum
from typing import assert_never

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.configuration_arrival import ConfigurationArrival, Delivery
from kestrelplank.transport.key_range_table import KeyRangeTable
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesDelta,
    KeyRangesUpdate,
    MemberHeartbeat,
    ViewUpdate,
)
from kestrelplank.transport.server_list import ServerList

SESSION_TIMEOUT_NS = 1500 * MILLISECOND  # without a message; the session is then ended and reopened
CONFIRMATION_MAX_AGE_NS = SECOND  # since this edge sent the heartbeat that the confirmation answers
SEED_FALLBACK_DELAY_NS = SECOND  # without a heartbeat of a current member; the seeds are then dialled too


class Change(Enum):
    """The part of the view that a message changed."""

    CONFIGURATION = "configuration"
    KEY_RANGES = "key ranges"
    SERVERS = "servers"
    MEMBERS = "members"


class EdgeView:
    """One edge machine's view: members, the configuration in force, servers, and the holders of key ranges. No I/O.

    The view is kept in memory only; a restarted process is sent it in full.

    A current member *confirms* this machine's configuration by reporting that no newer one is in force.

    Invariants, each with its test in `tests/transport/test_edge_view.py`:

    - While a process runs, configuration, key ranges and membership never return to an older version
      (`test_updates_with_an_older_version_are_ignored`, `test_the_members_follow_the_newest_membership`).
    - The machine becomes ready only after a current member of the newest membership has confirmed its configuration in
      answer to a recent heartbeat (`test_an_edge_is_ready_once_a_current_member_confirms_its_configuration`,
      `test_a_former_member_can_not_confirm_a_configuration`,
      `test_a_delayed_confirmation_is_ignored`); it then stays ready
      (`test_a_ready_edge_stays_ready_when_a_newer_configuration_is_announced`).
    - A confirmation counts from when this machine asked for it, and for the configurations that come later
      (`test_a_confirmation_ages_from_the_heartbeat_that_it_answers`).
    - A key range delta is applied only to its base version
      (`test_a_key_range_delta_is_applied_only_to_its_base_version`).

    :param name: this machine's name.
    :param seeds: control addresses, dialled until a current member has sent the membership, and again while no current
        member sends heartbeats.
    """

    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        self.name, self.seeds = name, seeds
        self.members: tuple[str, ...] = ()  # control addresses of the newest membership known
        self.epoch, self.term, self.leader = -1, -1, ""
        self.configuration: Configuration | None = None
        self.configuration_arrival: ConfigurationArrival | None = None
        self.rejected_configurations = 0  # updates with a text that this release can't parse
        self.key_ranges: dict[str, KeyRangeTable] = {}  # by service
        self.servers = ServerList()
        self.edge_count = 1  # edge machines that share the servers, including this one
        self._announced_versions: dict[str, int | None] = {}  # by member: the version in its last heartbeat
        self._current_member_heard_at: int | None = None
        # When this machine sent the last heartbeat whose answer confirmed the configuration; None: there is none.
        self._confirmed_at: int | None = None

    def receive(self, now: int, member: str, message: ViewUpdate) -> Change | None:
        """Update the view from a message of the member at that address; return the part that changed, if any."""
        match message:
            case MemberHeartbeat():
                return self._handle_heartbeat(now, member, message)
            case ConfigurationUpdate():
                return self._handle_configuration(now, member, message)
            case KeyRangesUpdate():
                return self._handle_key_ranges(message)
            case KeyRangesDelta():
                return self._handle_key_ranges_delta(message)
            case ServerListUpdate():
                return self._handle_server_list(now, message)
            case _:
                assert_never(message)

    def _handle_heartbeat(self, now: int, member: str, heartbeat: MemberHeartbeat) -> Change | None:
        """Update members and leader, and record whether the configuration is confirmed."""
        self._announced_versions[member] = heartbeat.configuration_version
        if heartbeat.epoch < self.epoch:
            return None  # from a former membership: it can't confirm, and its data is older
        self.edge_count = max(1, heartbeat.edge_count)
        if heartbeat.term >= self.term and heartbeat.leader:
            self.term, self.leader = heartbeat.term, heartbeat.leader
        changed = bool(heartbeat.voters) and (heartbeat.epoch > self.epoch or not self.members)
        if changed:
            self.epoch, self.members = heartbeat.epoch, heartbeat.voters
        if member in self.members:
            if heartbeat.is_current:
                self._current_member_heard_at = now
            if self._confirms_configuration(now, heartbeat):
                self._confirmed_at = max(heartbeat.heartbeat_sent_at, self._confirmed_at or 0)
        return Change.MEMBERS if changed else None

    def _confirms_configuration(self, now: int, heartbeat: MemberHeartbeat) -> bool:
        """Whether the heartbeat confirms that no configuration newer than this machine's is in force."""
        recent = now - heartbeat.heartbeat_sent_at <= CONFIRMATION_MAX_AGE_NS
        if not (heartbeat.is_current and recent) or self.configuration is None:
            return False
        in_force = heartbeat.configuration_version
        return in_force is None or in_force <= self.configuration.key.version

    def _handle_configuration(self, now: int, member: str, update: ConfigurationUpdate) -> Change | None:
        if self.configuration is not None and update.version <= self.configuration.key.version:
            return None
        configuration = parse_configuration(update.text, self.configuration).value_or(None)
        if configuration is None:
            self.rejected_configurations += 1
            return None
        self.configuration = configuration
        # A member that answers a heartbeat names the version before it sends the update.
        answers = self._announced_versions.get(member) == update.version
        delivery = Delivery.ANSWER if answers else Delivery.PUSH
        self.configuration_arrival = ConfigurationArrival(
            update.version, member, delivery, self.confirmation_age_ns(now)
        )
        return Change.CONFIGURATION

    def _handle_key_ranges(self, update: KeyRangesUpdate) -> Change | None:
        table = self.key_ranges.get(update.service)
        if table is not None and update.version <= table.version:
            return None
        # Ranges that are being released have no server; they override the recorded ranges of their keys.
        recorded = KeyRangeTable(update.version, update.key_ranges)
        self.key_ranges[update.service] = recorded.updated(update.version, update.releasing)
        return Change.KEY_RANGES

    def _handle_key_ranges_delta(self, delta: KeyRangesDelta) -> Change | None:
        table = self.key_ranges.get(delta.service)
        if table is None or table.version != delta.base_version:
            return None  # a gap or a duplicate; after a gap, the answer to the next heartbeat has all key ranges
        self.key_ranges[delta.service] = table.updated(delta.version, delta.key_ranges)
        return Change.KEY_RANGES

    def _handle_server_list(self, now: int, update: ServerListUpdate) -> Change | None:
        return Change.SERVERS if self.servers.update(now, update.age_ns, update.entries) else None

    def heartbeat(self, now: int) -> EdgeHeartbeat:
        """Return the versions that this machine has; members answer with updates of outdated ones."""
        return EdgeHeartbeat(
            self.name,
            self.configuration.key.version if self.configuration else None,
            {service: table.version for service, table in self.key_ranges.items()},
            self.servers.digest() if self.servers.fetched_at is not None else None,
            now,
        )

    def ready(self) -> bool:
        """Whether the machine may accept requests.

        That is after a current member of the newest membership has confirmed its configuration, and a server list has
        been received. It stays ready, as later updates are newer.
        """
        return self._confirmed_at is not None and self.servers.fetched_at is not None

    def is_confirmed(self, now: int, max_age_ns: int) -> bool:
        """Whether a current member has confirmed the configuration in answer to a heartbeat of at most that age."""
        age_ns = self.confirmation_age_ns(now)
        return age_ns is not None and age_ns <= max_age_ns

    def confirmation_age_ns(self, now: int) -> int | None:
        """Return the time since the heartbeat whose answer last confirmed the configuration; None: there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def addresses_to_dial(self, now: int) -> tuple[str, ...]:
        """Return the control addresses to connect to: the members, and also the seeds if no current member is heard.

        A member that is cut off from the others may know only voters that have been replaced.
        """
        heard_at = self._current_member_heard_at
        if heard_at is not None and now - heard_at < SEED_FALLBACK_DELAY_NS:
            return self.members
        return tuple(dict.fromkeys((*self.members, *self.seeds)))

    def assigner_address(self, service: str) -> str | None:  # noqa: ARG002  # one member assigns for all services today
        """Return the address of the member that assigns the service's key ranges; None if it is not known."""
        return self.leader or None
