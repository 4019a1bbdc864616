"""Files that the documentation names exist: linked files, pages, modules and packages of the program, tests."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PROGRAM = ROOT / "kestrelplank"
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
PACKAGES = {path.name for path in PROGRAM.iterdir() if (path / "__init__.py").is_file()}

LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
PAGE = re.compile(r"\bdocs/[\w/-]+\.md\b")
MODULE = re.compile(r"`(?:kestrelplank/)?(\w+)/(?:(\w+)(?:\.py)?)?`")
TEST = re.compile(r"\btests/[\w/]+\.py\b")


def missing_files(page: Path) -> list[str]:
    """The names in `page` of files that do not exist."""
    text = page.read_text()
    missing = [name for name in LINK.findall(text) if not (page.parent / name).exists()]
    missing += [name for name in (*PAGE.findall(text), *TEST.findall(text)) if not (ROOT / name).exists()]
    for package, module in MODULE.findall(text):
        if package in PACKAGES and module:
            folder = PROGRAM / package / module
            if not (folder.is_dir() or folder.with_suffix(".py").is_file()):
                missing.append(f"{package}/{module}")
    return missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_page_names_only_existing_files(page):
    assert missing_files(page) == []


def test_names_of_missing_files_are_reported(tmp_path):
    page = tmp_path / "page.md"
    page.write_text(
        "[x](gone.md), docs/gone.md, `consensus/gone`, `kestrelplank/control/gone.py`, tests/gone.py; `control/`"
    )
    assert missing_files(page) == ["gone.md", "docs/gone.md", "tests/gone.py", "consensus/gone", "control/gone"]
