"""Replies of a control member to heartbeats of edge machines. No I/O.

A reply has the member's own heartbeat and every update that the edge machine lacks.
"""

from kestrelplank.consensus.identity import address_of
from kestrelplank.control.member_lifecycle import MemberLifecycle
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.control.shard_record import key_ranges_update
from kestrelplank.state.control_state import NO_VERSION
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    ToEdge,
)
from kestrelplank.transport.server_list import ServerList


class EdgeUpdates:
    """Builds the replies to heartbeats of edge machines.

    Only committed data is sent, and only if the edge machine does not have it yet; a configuration only once on a
    connection (`test_a_configuration_is_sent_once_on_a_connection`).
    """

    def __init__(
        self, replica: Replica, lifecycle: MemberLifecycle, servers: ServerList, assigners: ShardAssigners
    ) -> None:
        self._replica = replica
        self._node = replica.node
        self._lifecycle = lifecycle
        self._servers = servers
        self._assigners = assigners

    def handle_edge_heartbeat(
        self, now: int, heartbeat: EdgeHeartbeat, edge_count: int, sent_version: int | None
    ) -> list[ToEdge]:
        """Return this member's heartbeat, then the updates that the edge machine lacks according to its own heartbeat.

        :param edge_count: how many edge machines are in session with this member.
        :param sent_version: of the newest configuration sent on the connection of the heartbeat; None: none was.
        """
        answers: list[ToEdge] = [self._member_heartbeat(now, heartbeat, edge_count)]
        configuration = self._replica.state.configuration
        # What was sent on the connection and has not arrived is on its way: a copy would only delay it on a slow link.
        known = max((v for v in (heartbeat.configuration_version, sent_version) if v is not None), default=NO_VERSION)
        if configuration is not None and known < configuration.version:
            answers.append(ConfigurationUpdate(configuration.version, configuration.text))
        for service in self._replica.sharded_services():
            update = self._key_ranges_update(now, service, heartbeat.key_ranges.get(service, KeyRangesVersion()))
            if update is not None:
                answers.append(update)
        if self._servers.fetched_at is not None and heartbeat.server_list_digest != self._servers.digest():
            answers.append(self._servers.update_message(now))
        return answers

    def _key_ranges_update(self, now: int, service: str, known: KeyRangesVersion) -> KeyRangesUpdate | None:
        """Return a service's key ranges; None if the edge machine has this version or a newer one.

        :param known: the version that the edge machine has.
        """
        assigner, record = self._assigners.leading_assigner(now, service), self._replica.record(service)
        if assigner is not None:
            return assigner.full_update() if known < assigner.version else None
        return key_ranges_update(service, record) if known < record.version else None

    def _member_heartbeat(self, now: int, heartbeat: EdgeHeartbeat, edge_count: int) -> MemberHeartbeat:
        membership = self._lifecycle.committed_membership()
        configuration = self._replica.state.configuration
        return MemberHeartbeat(
            membership.epoch if membership else -1,
            self._node.term,
            address_of(self._node.leader),
            self._node.current(now),
            configuration.version if configuration else None,
            tuple(map(address_of, membership.all_voters())) if membership else (),
            edge_count,
            heartbeat.sent_at,
        )
