"""Guards against changes of any byte in the reports of the scripts in `rehearsals/`.

The digests in `recorded_reports.json` were recorded at commit 4f929ce.
"""

import hashlib
import json
from pathlib import Path

import pytest

from kestrelplank.cli.rehearsal_report import encoded_report
from kestrelplank.emulator.rehearsal import play
from kestrelplank.emulator.script import read_script
from kestrelplank.settings.ini import IniFile

SCRIPTS = Path(__file__).parents[2] / "rehearsals"
RECORDED = json.loads((Path(__file__).parent / "recorded_reports.json").read_text())


def report_digest(name, seed, extra_text, ideal_placement):
    text = (SCRIPTS / f"{name}.ini").read_text() + extra_text
    return hashlib.sha256(
        encoded_report(play(read_script(IniFile(f"{name}.ini", text)), seed, ideal_placement=ideal_placement))
    ).hexdigest()


@pytest.mark.parametrize(
    "row", RECORDED, ids=lambda row: f"{row['script']}-{row['seed']}-{row['more'].split()[-1:]}-{row['knowing']}"
)
def test_a_report_matches_its_recorded_digest(row):
    assert report_digest(row["script"], row["seed"], row["more"], row["knowing"]) == row["sha256"]
