"""What differs between two configurations, route by route and field by field."""

from typing import Any, NamedTuple

from kestrelplank.configuration.plan import Configuration, Route

ADDED, DROPPED = "added", "dropped"
FIELDS = {
    "kind": "route_type",
    "timeout": "timeout_s",
    "aim": "target_latency_s",
    "priority": "priority",
    "attempts": "max_attempts",
    "split": "traffic_split",
}
TIMES = ("timeout", "aim")


class Change(NamedTuple):
    """One field of one route, as the operator names it, times in seconds. Of a route that one side lacks `field` is
    `added` or `dropped`, of what concerns no route `host` is empty."""

    host: str
    prefix: str
    field: str
    old: Any
    new: Any

    def told(self) -> str:
        place = f"{self.host}{self.prefix}" if self.host else "all"
        return (
            f"{place}: {self.field}"
            if self.old is self.new is None
            else (f"{place}: {self.field} {self.old} -> {self.new}")
        )


def changes(old: Configuration, new: Configuration) -> list[Change]:
    """All that `new` changes, ordered by host and prefix."""
    found = [
        Change("", "", name, getattr(old, name), getattr(new, name))
        for name in ("max_body", "max_header", "idle", "header_wait")
        if getattr(old, name) != getattr(new, name)
    ]
    for name in sorted(old.services.keys() | new.services.keys()):
        was, now = old.services.get(name), new.services.get(name)
        if was != now:
            found.append(Change("", "", f"service {name}", was and tuple(was[1:]), now and tuple(now[1:])))
    for host in sorted(old.hosts.keys() | new.hosts.keys()):
        was_there, is_there = old.hosts.get(host, {}), new.hosts.get(host, {})
        for prefix in sorted(was_there.keys() | is_there.keys()):
            found += route_changes(host, prefix, was_there.get(prefix), is_there.get(prefix))
    return found


def route_changes(host: str, prefix: str, old: Route | None, new: Route | None) -> list[Change]:
    """The same for one place."""
    if old is None or new is None:
        return [Change(host, prefix, ADDED if old is None else DROPPED, None, None)]
    return [
        Change(host, prefix, told, *(shown(name, getattr(route, name)) for route in (old, new)))
        for name, told in FIELDS.items()
        if getattr(old, name) != getattr(new, name)
    ]


def shown(name: str, value: Any) -> Any:
    """A field's value as the operator writes it."""
    if name in TIMES:
        return value / 1_000_000_000
    if name == "split":
        return value[0][0] if len(value) == 1 else ", ".join(f"{service} {weight:g}" for service, weight in value)
    return value
