"""What the kernel knows of a TCP connection: what it has sent, and what the peer has acknowledged (Linux, TCP_INFO)."""

import asyncio
import socket
import struct
from dataclasses import dataclass

# The first fields of struct tcp_info (linux/tcp.h), up to tcpi_notsent_bytes.
LAYOUT = struct.Struct("=8B24I4Q3I")
PROBES, UNACKED = 3, 8 + 4
LAST_DATA_SENT, LAST_ACK_RECEIVED = 8 + 9, 8 + 12
BYTES_ACKED, NOT_SENT_BYTES = 8 + 24 + 2, 8 + 24 + 4 + 2


@dataclass(frozen=True, slots=True)
class TcpInfo:
    """The sending side of a connection.

    :param unanswered_probes: probes of a closed receive window since the newest acknowledgement.
    :param unacknowledged_segments: sent, and not acknowledged yet.
    :param unsent_bytes: not sent yet, as the peer's receive window or the congestion window is full.
    :param acknowledged_bytes: by the peer since the connection was opened.
    :param since_data_sent_ms: time since data was last sent or repeated.
    :param since_acknowledgement_ms: time since the newest acknowledgement, of new data or not.
    """

    unanswered_probes: int
    unacknowledged_segments: int
    unsent_bytes: int
    acknowledged_bytes: int
    since_data_sent_ms: int
    since_acknowledgement_ms: int

    @property
    def has_outstanding_bytes(self) -> bool:
        """Whether the peer has yet to acknowledge any byte that was written."""
        return bool(self.unacknowledged_segments or self.unsent_bytes)

    @property
    def has_times(self) -> bool:
        """Whether the times tell anything: data may have been acknowledged just now, or the system leaves them 0."""
        return bool(self.since_data_sent_ms or self.since_acknowledgement_ms)

    @property
    def window_is_closed(self) -> bool:
        """Whether nothing is on its way though bytes wait: the peer is only sent probes."""
        return self.unsent_bytes > 0 and not self.unacknowledged_segments

    @property
    def peer_answers(self) -> bool:
        """Whether the peer has acknowledged anything since the last data or probe was sent to it."""
        return not self.unanswered_probes and self.since_acknowledgement_ms <= self.since_data_sent_ms


def read_tcp_info(sock: socket.socket) -> TcpInfo | None:
    """Return the connection's state; None if the socket is closed or the system doesn't tell."""
    if not hasattr(socket, "TCP_INFO"):
        return None
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAYOUT.size)
    except OSError:
        return None
    if len(data) < LAYOUT.size:
        return None
    fields = LAYOUT.unpack(data)
    return TcpInfo(
        unanswered_probes=fields[PROBES],
        unacknowledged_segments=fields[UNACKED],
        unsent_bytes=fields[NOT_SENT_BYTES],
        acknowledged_bytes=fields[BYTES_ACKED],
        since_data_sent_ms=fields[LAST_DATA_SENT],
        since_acknowledgement_ms=fields[LAST_ACK_RECEIVED],
    )


def has_unsent_bytes(transport: asyncio.WriteTransport) -> bool:
    """Whether written bytes wait, in the transport or in the kernel, for the peer to read."""
    if transport.get_write_buffer_size():
        return True
    info = read_tcp_info(transport.get_extra_info("socket"))
    return info is not None and info.unsent_bytes > 0
