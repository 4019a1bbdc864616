"""Guards against settings that are misread, and against errors that do not name the file and the field."""

import subprocess
import sys
from pathlib import Path

import pytest

from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.platform import load

ROOT = Path(__file__).parents[2]
GOOD = """grants = "call"
[local_system]
node_name = "edge-1"
ip_address = "10.0.0.1"
zone = "hall"
[network]
internal_port_range = [7540, 7555]
seed_nodes = ["10.0.0.9:80"]
[network.listen_addresses]
frontend = "10.0.0.1:8080"
[platform.cloud_api]
address = "10.9.0.1:80"
rate_per_s = 54.0
[policy_terms.fault_tolerance]
machine_losses = 2
zones = 0
[policy_terms.bounds]
grace_s = 7
"""


def test_valid_file_is_read_with_defaults(tmp_path):
    (tmp_path / "node.toml").write_text(GOOD)
    settings = load(str(tmp_path / "node.toml"))
    assert settings.listen_address("frontend") == ("10.0.0.1", 8080) and settings.internal_port() == 7540
    assert settings.bounds.grace_s == 7 and settings.bounds.retry_budget_ratio == 0.2
    assert settings.fault_tolerance.machine_losses == 2 and settings.local_system.quorum_member
    assert settings.cloud_api.duties == [] and settings.bounds.lease_s == 3 and not settings.bounds.fencing_enabled
    with pytest.raises(InvalidSettingsError, match="listen_addresses.readiness: missing"):
        settings.listen_address("readiness")


def test_duties_and_their_bounds_are_read(tmp_path):
    text = GOOD.replace("rate_per_s = 54.0", 'duties = ["usage"]\nduty_rate_s = 2.5')
    (tmp_path / "node.toml").write_text(text.replace("grace_s = 7", "fencing_enabled = true\nlease_s = 4"))
    settings = load(str(tmp_path / "node.toml"))
    assert settings.cloud_api.duties == ["usage"] and settings.cloud_api.duty_rate_s == 2.5
    assert settings.bounds.fencing_enabled and settings.bounds.lease_s == 4


@pytest.mark.parametrize(
    "old, new, message",
    [
        ('zone = "hall"\n', "", "local_system.zone: missing"),
        ('zone = "hall"', "zone = 3", "local_system.zone: 3 is not of type str"),
        ("grace_s = 7", 'grace_s = "7"', "policy_terms.bounds.grace_s"),
        ("grace_s = 7", "revocation_closed = 1", "policy_terms.bounds.revocation_closed"),
        ("grace_s = 7", "revoke_s = 0", "policy_terms.bounds.revoke_s: expected a number greater than 0, got 0"),
        ("losses = 2", "losses = -1", "policy_terms.fault_tolerance.machine_losses: expected 0 or more, got -1"),
        ("grace_s = 7", "lease_s = -1", "policy_terms.bounds.lease_s: expected 0 or more, got -1"),
        ("rate_per_s = 54.0", "duties = [5]", "platform.cloud_api.duties"),
        ('"10.0.0.9:80"', '"10.0.0.9"', "network.seed_nodes[0]"),
        ("[7540, 7555]", "[]", "internal_port_range"),
        ("[7540, 7555]", '["a"]', "internal_port_range[0]"),
        ('address = "10.9.0.1:80"', "", "platform.cloud_api.address: missing"),
        ("[local_system]", "[local_system", "line 2"),
    ],
)
def test_invalid_file_raises_a_one_line_error_that_names_file_and_field(tmp_path, old, new, message):
    (tmp_path / "node.toml").write_text(GOOD.replace(old, new))
    with pytest.raises(InvalidSettingsError) as raised:
        load(str(tmp_path / "node.toml"))
    assert message in str(raised.value) and "node.toml" in str(raised.value) and "\n" not in str(raised.value)


@pytest.mark.parametrize("words, code", [(["edge", "--settings=none.toml"], 2), (["fly"], 2), (["--help"], 0)])
def test_invalid_command_line_exits_with_code_2_and_help_with_0(words, code):
    process = subprocess.run(
        [sys.executable, "-m", "kestrelplank.gateway", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert process.returncode == code and "Traceback" not in process.stderr
