"""`kestrelplank relay --config FILE`: the reference proxy as a process, with signals and handover to a successor."""

import signal
import sys
from collections.abc import Callable

from kestrelplank.__main__ import Signals
from kestrelplank.assigner.counters import Counters, logger
from kestrelplank.reference_proxy.assembly import ReferenceProxy
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.reference_proxy.socket_handover import SuccessorListener, confirm_listening, receive_socket
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.reference_proxy import ReferenceProxySettings, read_reference_proxy_settings
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import Loop
from kestrelplank.time_units import MILLISECOND

BUFFER_BYTES, BUFFERS = 1 << 16, 64
IDLE_CHECK_INTERVAL_NS = 20 * MILLISECOND  # between checks whether all clients have gone, during shutdown
CANNOT_LISTEN, UNUSABLE_SETTINGS = 1, 2  # exit codes


class Program:
    """A proxy process: handles signals, may take over a predecessor's socket, and passes its own to a successor.

    :raises OSError: it can't listen.
    """

    def __init__(self, loop: Loop, counters: Counters, path: str, settings: ReferenceProxySettings) -> None:
        self._loop, self._counters, self._path = loop, counters, path
        process = settings.process
        self._stop_timeout_ns = process.stop_timeout_ns
        successor_path = process.successor_socket_path
        self._predecessor = receive_socket(successor_path) if successor_path else None
        listening = self._predecessor[0] if self._predecessor else address(process.listen_address)
        io = ProxyIo(loop, BufferPool(BUFFER_BYTES, BUFFERS), counters)
        self._reference_proxy = ReferenceProxy(io, settings, listening)
        self._successor: SuccessorListener | None = None
        if successor_path:
            descriptor = self._reference_proxy.proxy.descriptor
            self._successor = SuccessorListener(loop, successor_path, descriptor, lambda: self.stop("successor"))

    def run(self) -> None:
        """Run until stopped, and then until the requests in progress have been answered."""
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGHUP: self._reload,
            signal.SIGUSR1: self._counters.report,
        }
        signals = Signals(self._loop, handlers)
        self._counters.info(
            "started",
            listen="%s:%d" % self._reference_proxy.proxy.listen_address,
            tables="kept" if self._reference_proxy.has_restored_tables else "none yet",
            predecessor=bool(self._predecessor),
        )
        if self._predecessor:
            confirm_listening(self._predecessor[1])
        self._loop.run()
        self._reference_proxy.close()
        if self._successor:
            self._successor.close()
        signals.close()
        self._loop.close()
        self._report_totals()

    def stop(self, why: str = "signal") -> None:
        """Accept no new connections, and end once all are closed or the stop time-out has passed."""
        self._counters.info("stopping", why=why)
        self._reference_proxy.proxy.stop()
        self._end_when_idle(self._loop.now() + self._stop_timeout_ns)

    def _end_when_idle(self, until: int) -> None:
        now = self._loop.now()
        if self._reference_proxy.proxy.idle() or now >= until:
            self._loop.stop()
        else:
            self._loop.at(now + IDLE_CHECK_INTERVAL_NS, lambda: self._end_when_idle(until))

    def _reload(self) -> None:
        try:
            self._reference_proxy.reload(read_reference_proxy_settings(IniFile.load(self._path)))
        except InvalidSettingsError as err:
            self._counters.record_fault("reloads_refused", err)
            return
        self._counters.add("reloads")
        self._counters.info("reloaded")

    def _report_totals(self) -> None:
        components, counters = self._reference_proxy, self._counters
        for verdict, number in sorted(components.proxy.outcomes.items()):
            counters.add(f"ops_{verdict}", number)
        for name, number in sorted(components.zones.counts.items()) if components.zones else ():
            counters.add(name, number)
        counters.add("second_tries", components.attempts.counts["second_tries"])
        counters.report()


def main(path: str) -> int:
    """Run until SIGTERM, or until a successor has taken over; return the exit code."""
    try:
        settings = read_reference_proxy_settings(IniFile.load(path))
    except InvalidSettingsError as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return UNUSABLE_SETTINGS
    loop = Loop(lambda err: counters.defect(err))
    counters = Counters(logger(f"relay-{settings.process.number}"), loop.now)
    try:
        program = Program(loop, counters, path, settings)
    except OSError as err:
        print(f"kestrelplank: can't listen: {err.strerror or err}", file=sys.stderr)
        return CANNOT_LISTEN
    program.run()
    return 0
