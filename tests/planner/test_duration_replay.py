from __future__ import annotations

import random

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.console.durations import replay_file
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.planner.duration.replay import RecordedEnd
from magnoliapitch.planner.duration.replay import replay


if TYPE_CHECKING:
    from pathlib import Path


def recorded_ends() -> list[RecordedEnd]:
    """Return ends of steps of 5 tasks on a fast third and slow others."""
    source = random.Random(2)
    ends = []
    for step in range(300):
        work_ms = 2_900 * source.lognormvariate(0, 0.5)
        estimate_ms = work_ms * source.lognormvariate(0, 0.9)
        for _ in range(5):
            number = source.randrange(30)
            speed = 0.7 if number % 3 else 1.7
            duration_ms = work_ms * source.lognormvariate(0, 0.2) / speed
            ends.append(
                RecordedEnd(
                    "bulk", f"s{step}", f"w{number}", duration_ms, estimate_ms
                )
            )
    return ends


def test_learning_halves_the_error_for_uneven_workers() -> None:
    """Load: speeds of 1.7 and 0.7, estimates off by 0.9."""
    errors = replay(recorded_ends())["bulk"]
    assert errors.end_count == 1_500
    assert errors.learned < errors.moving_average / 1.5


def test_the_command_prints_the_errors_of_each_queue(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "ends.jsonl"
    lines = [orjson.dumps(end._asdict()) for end in recorded_ends()[:50]]
    file.write_bytes(b"\n".join(lines))
    replay_file(file)
    assert capsys.readouterr().out.splitlines()[1].split()[:2] == [
        "bulk",
        "50",
    ]


def test_the_command_names_the_line_that_is_not_an_end(tmp_path: Path) -> None:
    file = tmp_path / "ends.jsonl"
    file.write_text('\n{"queue": "q"}\n')
    with pytest.raises(CommandError, match="line 2"):
        replay_file(file)
