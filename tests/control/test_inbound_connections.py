"""Sessions of edge machines at one control member: what they are sent, and which of them are behind."""

from configuration.test_parsing import encoded
from control.simulation import Simulation

from kestrelplank.control.inbound_connections import IDLE_TIMEOUT_NS, InboundConnections
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.messages import ConfigurationUpdate, EdgeHeartbeat, decode_at_edge
from kestrelplank.transport.wire import UNREAD_AND_SILENT_NS

IN_FORCE = 7


class Connection:
    """A connection that keeps what is sent on it."""

    def __init__(self, unread=False):
        self.sent, self.resets, self.unread = [], 0, unread

    def stands_still(self, now, silent_ns):
        return self.unread and silent_ns > UNREAD_AND_SILENT_NS

    def send(self, message):
        self.sent.append(decode_at_edge(message[4:]) if isinstance(message, bytes) else message)

    def reset(self):
        self.resets += 1


def configurations(connection):
    """The versions of the configurations sent on the connection."""
    return [message.version for message in connection.sent if isinstance(message, ConfigurationUpdate)]


class EdgeAtMember:
    """An edge machine whose heartbeats one member answers as the control program does."""

    def __init__(self):
        self.system = Simulation(3)
        self.system.start_up()
        self.member, self.inbound = self.system.members[self.system.leader()], InboundConnections()

    def send_heartbeat(self, connection, version):
        now, heartbeat = self.system.now, EdgeHeartbeat("edge-1", version, {}, None, self.system.now)
        in_force = self.member.state.version
        session = self.inbound.handle_edge_heartbeat(now, connection, heartbeat.edge, version, in_force)
        for answer in self.member.handle_edge_heartbeat(now, heartbeat, 1, session.sent_version):
            self.inbound.send_to_edge(session, answer)


# Guards against a link that each heartbeat fills with another copy of a large configuration that is still on its way, so
# that it comes later than `config_apply_s`, and heartbeats and key ranges with it.
def test_a_configuration_is_sent_once_on_a_connection():
    edge, first, second = EdgeAtMember(), Connection(), Connection()
    in_force = edge.member.state.version
    for _ in range(3):
        edge.send_heartbeat(first, None)
    assert configurations(first) == [in_force]
    edge.inbound.send_to_edges(ConfigurationUpdate(in_force + 1, encoded(version=f"{in_force + 1:08x}")))
    edge.send_heartbeat(first, None)
    assert configurations(first) == [in_force, in_force + 1]
    edge.send_heartbeat(second, None)  # what the former connection had in flight is lost
    assert configurations(second) == [in_force]


def test_the_status_says_since_when_an_edge_is_behind():
    inbound, connection = InboundConnections(), Connection()

    def behind_s(now, version):
        inbound.handle_edge_heartbeat(now, connection, "edge-1", version, IN_FORCE)
        return inbound.edge_statuses(now)["edge-1"].behind_s

    assert behind_s(0, IN_FORCE) is None
    assert [behind_s(at * SECOND, version) for at, version in ((1, 5), (2, 5), (4, 6))] == [0.0, 1.0, 3.0]
    assert inbound.edge_statuses(4 * SECOND + 400 * MILLISECOND)["edge-1"].behind_s == 3.4
    assert behind_s(5 * SECOND, IN_FORCE) is None and behind_s(6 * SECOND, None) == 0.0


def test_a_connection_is_reset_if_its_peer_is_silent_and_sooner_if_it_reads_nothing_either():
    """A peer that reads late, but sends heartbeats, keeps its connection."""
    inbound, quiet, unread = InboundConnections(), Connection(), Connection(unread=True)
    for connection in (quiet, unread):
        inbound.record_activity(0, connection)
    inbound.reset_idle(UNREAD_AND_SILENT_NS)
    assert [quiet.resets, unread.resets] == [0, 0]
    inbound.reset_idle(UNREAD_AND_SILENT_NS + 1)
    assert [quiet.resets, unread.resets] == [0, 1]
    inbound.reset_idle(IDLE_TIMEOUT_NS + 1)
    assert quiet.resets == 1
