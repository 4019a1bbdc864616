"""Which connection speaks for whom. A peer that dials anew has ended what it had before, be it by a new life or because
it stood silent: what may still come there is of the past, and must not count after what it says now."""

from typing import Any, Protocol


class Ends(Protocol):
    """A connection, as far as it matters here."""

    def reset(self) -> None: ...


class Session:
    """A peer in session: its connection, when it last spoke (ns), and what it said of itself."""

    __slots__ = ("wire", "heard_at", "said")

    def __init__(self, wire: Ends, heard_at: int) -> None:
        self.wire, self.heard_at, self.said = wire, heard_at, None

    def silent_for(self, now: int) -> int:
        return now - self.heard_at


class Sessions:
    """All that others dialled to us, by name; `said` of each is for whoever keeps this."""

    def __init__(self) -> None:
        self.by_name: dict[str, Session] = {}
        self._names: dict[Ends, str] = {}

    def heard(self, now: int, wire: Ends, name: str) -> Session | None:
        """That connection says who it speaks for. None where another has spoken for it since."""
        known = self._names.get(wire)
        session = self.by_name.get(name)
        if known is None:
            if session is not None:
                session.wire.reset()
                self._names[session.wire] = ""  # nothing that it still brings counts
            session = self.by_name[name] = Session(wire, now)
            self._names[wire] = name
        elif known != name or session is None or session.wire is not wire:
            return None
        session.heard_at = now
        return session

    def ended(self, wire: Ends) -> str | None:
        """That connection has ended. Returns whose session ended with it, if any."""
        name = self._names.pop(wire, "")
        session = self.by_name.get(name)
        if session is None or session.wire is not wire:
            return None
        del self.by_name[name]
        return name

    def wires(self) -> list[Any]:
        return [session.wire for session in self.by_name.values()]
