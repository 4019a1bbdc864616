"""A program of ours as a process, for rehearsals and tests that play the other side."""

import os
import signal
import subprocess
import sys

from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

ENDS_WITHIN = 5.0  # s that a process gets to end after SIGTERM
CONDUCTOR = ("-m", "kestrelplank")


class Process:
    """Its log is read by our loop: nothing here blocks while it runs. `words` follow the interpreter, `variables` are
    added to the environment."""

    def __init__(self, loop: Loop, words: tuple[str, ...], **variables: str) -> None:
        self._loop, self.log = loop, b""
        self.process = subprocess.Popen([sys.executable, *words], stderr=subprocess.PIPE, env=os.environ | variables)
        os.set_blocking(self.process.stderr.fileno(), False)
        loop.watch(self.process.stderr, READ, self._read)

    def _read(self, events: int) -> None:
        data = self.process.stderr.read()
        self.log += data or b""
        if data == b"":
            self._loop.forget(self.process.stderr)
            self.process.stderr.close()

    def lines(self, what: str) -> list[str]:
        """Whole lines of its log so far that say that."""
        whole = self.log[: self.log.rfind(b"\n") + 1].decode()
        return [line for line in whole.splitlines() if what in line]

    def address(self) -> tuple[str, int] | None:
        """Where it listens, once it has said so."""
        started = self.lines("event=started")
        return address(started[0].split("listen=")[1].split()[0]) if started else None

    def ended(self) -> bool:
        return self.process.poll() is not None and self.process.stderr.closed

    def kill(self, number: int = signal.SIGKILL) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """Ends it in order, or else at once."""
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGTERM)
        try:
            self.process.wait(ENDS_WITHIN)
        except subprocess.TimeoutExpired:
            self.kill()
            self.process.wait()
        if not self.process.stderr.closed:
            self._loop.forget(self.process.stderr)
            self.process.stderr.close()
