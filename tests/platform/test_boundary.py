"""Nothing but the adapter knows the platform's names."""

from __future__ import annotations

import re

from pathlib import Path

import pytest


SOURCE = Path(__file__).parents[2] / "src" / "magnoliapitch"
ADAPTER = SOURCE / "platform"
NAMES = re.compile(
    r"run-start|run-stop|log-append|log-read|log-newest|log-join|run-id"
    r"|keyed\.|checkpoint-ref|ack-seq|ended-runs|X-Magnoliapitch-"
)
LINES_MAX = 1_200
BUILDER = SOURCE / "entry" / "job_node.py"


def modules() -> list[Path]:
    return [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents
    ]


@pytest.mark.parametrize("path", modules(), ids=str)
def test_a_module_knows_nothing_of_the_platform(path: Path) -> None:
    text = path.read_text()
    assert not NAMES.search(text)
    if path != BUILDER:
        assert "magnoliapitch.platform" not in text


def test_the_adapter_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py")
    )
    assert lines <= LINES_MAX
