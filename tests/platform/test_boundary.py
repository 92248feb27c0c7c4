"""Checks that only the platform package contains the platform's names."""

from __future__ import annotations

import re

from pathlib import Path

import pytest


SOURCE = Path(__file__).parents[2] / "src" / "magnoliapitch"
PLATFORM_PACKAGE = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"run-start|run-stop|log-append|log-read|log-newest|log-join|run-id"
    r"|keyed\.|checkpoint-ref|ack-seq|ended-runs|X-Magnoliapitch-"
)
MAX_LINES = 1_200
ASSEMBLING_MODULE = SOURCE / "entry" / "job_node.py"


def modules() -> list[Path]:
    return [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if PLATFORM_PACKAGE not in path.parents
    ]


@pytest.mark.parametrize("path", modules(), ids=str)
def test_module_contains_no_names_of_the_platform(path: Path) -> None:
    text = path.read_text()
    assert not PLATFORM_NAMES.search(text)
    if path != ASSEMBLING_MODULE:
        assert "magnoliapitch.platform" not in text


def test_the_platform_package_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in PLATFORM_PACKAGE.glob("*.py")
    )
    assert lines <= MAX_LINES
