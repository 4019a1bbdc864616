"""What a check of one rule has found."""

import msgspec

from kestrelplank.rehearsal.soak_records import ClientAttempt


class Violation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One breach of a rule."""

    rule: str
    at_s: float
    seen: str
    attempt_id: str = ""
    edge: str = ""


class Findings(msgspec.Struct):
    """How many cases a check applied to, and the breaches among them."""

    rule: str
    checked: int = 0
    violations: list[Violation] = msgspec.field(default_factory=list)

    def add(self, at_s: float, seen: str, attempt_id: str = "", edge: str = "") -> None:
        """Add a breach."""
        self.violations.append(Violation(self.rule, round(at_s, 3), seen, attempt_id, edge))

    def add_attempt(self, attempt: ClientAttempt, seen: str) -> None:
        """Add a breach by the handling of that attempt."""
        request = f"{attempt.method} {attempt.path}"
        outcome = f"{attempt.ending.value} {attempt.status or ''}".strip()
        span = f"sent {attempt.sent_from:.3f} s, ended {attempt.ended_at:.3f} s"
        self.add(attempt.ended_at, f"{seen}; {request}, {outcome}, {span}", attempt.attempt_id, attempt.edge)
