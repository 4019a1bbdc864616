"""The check that no log of a process holds an API key."""

from pathlib import Path

from kestrelplank.rehearsal.soak_configurations import PlannedConfiguration
from kestrelplank.rehearsal.soak_findings import Findings


def check_logs(folder: Path, configurations: list[PlannedConfiguration]) -> Findings:
    """Read the logs in the folder, and search them for each key."""
    findings = Findings("KEYS IN LOGS")
    keys = {key for planned in configurations for tenant in planned.tenants or () for key in tenant.api_keys}
    for path in sorted(folder.glob("*.log")):
        text = path.read_text(errors="replace")
        findings.checked += 1
        for key in sorted(keys):
            if key in text:
                findings.add(0.0, f"{path.name} holds a key of {len(key)} characters")
                break
    return findings
