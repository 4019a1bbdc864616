"""Formats a rehearsal's report, as JSON for a file and as lines of text. All its figures are simulated."""

from typing import Any

import msgspec

Report = dict[str, Any]  # the JSON object that the emulator defines

SITE_SIZES = ("nodes", "relays", "conductors", "slices")
LATENCY_COLUMNS = (("p50_ms", 8), ("p95_ms", 8), ("p99_ms", 9))  # key and width
RULE_UNITS = {"bare": "s", "drains": "s", "cold": "of what it may be sent", "queue": "lines", "repeats": "ops"}
MAX_NAME_LENGTH = 17


def encoded_report(report: Report) -> bytes:
    """Return a report as JSON with one field on each line; equal reports give equal bytes."""
    return msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"


def rules_kept(report: Report) -> bool:
    """Return whether no rule was broken (no once-only op ran twice, among others) and every acknowledged op ran."""
    return not report["broken"] and not report["acked_without_a_run"]


def report_lines(report: Report) -> list[str]:
    """Return a report as lines of text."""
    return [*site_lines(report), "", *op_type_lines(report), "", *rule_lines(report), *loss_lines(report)]


def site_lines(report: Report) -> list[str]:
    """Return the lines about the site as a whole."""
    sizes = ", ".join(f"{report['site'][what]} {what}" for what in SITE_SIZES)
    return [
        f"{sizes}; {report['how']}, seed {report['seed']}; all figures are simulated",
        f"service {report['service']:.4f}, worst 5 s {report['worst_5s']:.4f}, "
        f"second tries {report['second_tries']}, slices moved {report['channel']['moves']}",
    ]


def op_type_lines(report: Report) -> list[str]:
    """Return a table with a line for each op type."""
    lines = [
        f"{'op type':<18}{'asked':>8}{'in time':>9}{'acked':>8}{'rejected':>10}{'aborted':>9}{'p50':>8}{'p95':>8}"
        f"{'p99 ms':>9}{'twice':>7}"
    ]
    for name, counts in report["op_types"].items():
        latencies = "".join(f"{counts[key] or 0:>{width}.0f}" for key, width in LATENCY_COLUMNS)
        lines.append(
            f"{name[:MAX_NAME_LENGTH]:<18}{counts['asked']:>8}{counts['in_time']:>9}{counts['acked']:>8}"
            f"{counts['rejected']:>10}{counts['aborted']:>9}{latencies}{report['duplicates'][name]:>7}"
        )
    return lines


def rule_lines(report: Report) -> list[str]:
    """Return a table with a line for each rule."""
    lines = [f"{'rule':<10}{'worst':>10}{'limit':>10}{'margin':>9}"]
    for rule, outcome in report["rules"].items():
        broken = "" if outcome["kept"] else f"  BROKEN: {outcome['where']}"
        figures = f"{outcome['worst']:>10.4g}{outcome['limit']:>10.4g}{outcome['margin']:>8.0%}"
        lines.append(f"{rule:<10}{figures}  {RULE_UNITS[rule]}{broken}")
    return lines


def loss_lines(report: Report) -> list[str]:
    """Return the lines on lost ops and on nodes that failed from overload, if any."""
    lines = []
    if report["lost"]:
        lines += ["", "lost: " + ", ".join(f"{reason} {count}" for reason, count in report["lost"].items())]
    if report["fallen_nodes"]:
        lines.append(f"failed from overload: nodes {', '.join(map(str, report['fallen_nodes']))}")
    return lines
