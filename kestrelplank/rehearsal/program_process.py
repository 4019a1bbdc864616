"""A kestrelplank program as a process, for rehearsals and tests that simulate its peers."""

import os
import signal
import subprocess
import sys
from socket import socket
from typing import IO, cast

from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

STOP_TIMEOUT_S = 5.0  # for a process to end after SIGTERM
ASSIGNER = ("-m", "kestrelplank")


class ProgramProcess:
    """A running program whose log is read by the given loop, without blocking.

    The log is a pipe; the loop watches anything that has a file descriptor.

    :param arguments: of the Python interpreter.
    :param variables: added to the environment.
    """

    def __init__(self, loop: Loop, arguments: tuple[str, ...], **variables: str) -> None:
        self._loop, self.log = loop, b""
        command = [sys.executable, *arguments]
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, env=os.environ | variables)
        assert self.process.stderr is not None
        self._stderr: IO[bytes] = self.process.stderr
        os.set_blocking(self._stderr.fileno(), False)
        loop.watch(cast(socket, self._stderr), READ, self._read)

    def _read(self, events: int) -> None:  # noqa: ARG002 - as the loop calls it
        data = self._stderr.read()
        self.log += data or b""
        if data == b"":
            self._close_log()

    def _close_log(self) -> None:
        self._loop.forget(cast(socket, self._stderr))
        self._stderr.close()

    def log_lines(self, text: str) -> list[str]:
        """Return the complete lines of the log so far that contain the text."""
        complete = self.log[: self.log.rfind(b"\n") + 1].decode()
        return [line for line in complete.splitlines() if text in line]

    def address(self) -> tuple[str, int] | None:
        """Return the address on which it listens, None until it has logged it."""
        started = self.log_lines("event=started")
        if not started:
            return None
        host, port = address(started[0].split("listen=")[1].split()[0])
        return host, port

    def has_ended(self) -> bool:
        """Whether the process has ended and its log has been read to the end."""
        return self.process.poll() is not None and self._stderr.closed

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send the process a signal, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """Shut the process down gracefully; kill it after `STOP_TIMEOUT_S`."""
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGTERM)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            self.process.wait()
        if not self._stderr.closed:
            self._close_log()
