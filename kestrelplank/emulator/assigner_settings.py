"""Settings of an assigner of a rehearsed site, under the names that both adapters read."""

from kestrelplank.emulator.script import Script
from kestrelplank.time_units import MILLISECOND, SECOND

MS_PER_NS = 1 / MILLISECOND
EFFECTS = {"retryable": "pure", "deduplicated": "token", "once-only": "side_effect"}
PICKS = {"two": "p2c", "rotate": "rotate"}


def assigner_settings(script: Script, number: int) -> dict[str, object]:
    """Return the settings of one assigner."""
    site = script.site
    return {
        "Areas": list(site.zones),
        "Az": site.zones[number % len(site.zones)],
        "Balancers": site.conductors,
        "Ordinal": number,
        "Tick": script.rules.tick * MS_PER_NS,
        "WeightSource": "nominal",
        "Categories": _categories(script),
        "Specifics": _specifics(script),
        "Rules": _rules(script),
        "Permissions": {"DialTimeout": script.proxies.dial * MS_PER_NS, "Probes": False, "MayTell": False},
    }


def _categories(script: Script) -> list[dict[str, object]]:
    return [
        {
            "Name": name,
            "Target": op_type.target * MS_PER_NS,
            "Deadline": op_type.timeout * MS_PER_NS,
            "Importance": op_type.value,
            "Effect": EFFECTS[op_type.effect],
        }
        for name, op_type in script.op_types.items()
    ]


def _specifics(script: Script) -> dict[str, object]:
    site, channel, proxies = script.site, script.channel, script.proxies
    return {
        "BaseMode": 1,
        "Blackhole": script.rules.bare * MS_PER_NS,
        "DataPlaneSize": site.relays,
        "Shards": site.slices,
        "EgressPerS": channel.lines_per_s,
        "Envelope": channel.envelope,
        "LevelKind": "none",
        "MostWaiting": max_queued_orders(script),
        "Pick": PICKS.get(proxies.pick, "random"),
        "ReportEvery": script.reports.every * MS_PER_NS,
        "Strikes": proxies.strikes,
        "WarmKeys": script.node_kind.key_gain > 0,
        "Transit": sum(channel.transit) / 2 * MS_PER_NS,
        "WorstTransit": channel.transit[1] * MS_PER_NS,
    }


def _rules(script: Script) -> dict[str, object]:
    kind = script.node_kind
    return {
        "ColdFrom": kind.cold_from,
        "FallMultiple": kind.fall_multiple,
        "WarmUp": kind.warm_up * MS_PER_NS,
        "StopSendingWithin": script.rules.grace * MS_PER_NS,
        "TipAfter": kind.tip_after * MS_PER_NS,
    }


def max_queued_orders(script: Script) -> float:
    """Return the maximum number of orders queued in an assigner's channel."""
    return script.channel.lines_per_s * script.channel.backlog / SECOND
