"""Tests of the soak's oracles on histories that break one rule each."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.soak.oracles import TrueHistory
from tests.soak.oracles import check
from tests.soak.schedule import JobPlan
from tests.soak.schedule import Schedule


if TYPE_CHECKING:
    from pathlib import Path


JOB = "a1"
TASK = "a1.0.0.0"
HARNESS = (
    (0, "configuration", {"attempts": {"plans": 2}}),
    (1, "sent", {"job": JOB}),
    (1, "answer", {"job": JOB, "status": 200}),
)


def _run(
    number: int, start_s: float, end_s: float, kind: str, *, clean: bool = True
) -> list[tuple[float, str, dict[str, Any]]]:
    fields = {"task": TASK, "run": number, "worker": "i"}
    return [
        (start_s, "start", fields),
        (end_s, "end", {**fields, "kind": kind}),
        (end_s, "noted", {**fields, "clean": clean}),
    ]


def _shown(state: str, at_s: float) -> tuple[float, str, dict[str, Any]]:
    fields = {"job": JOB, "state": state, "entry": "e", "asked": at_s}
    return at_s, "state", {**fields, "last": True}


FAILED = [*_run(1, 2, 3, "failed"), *_run(2, 3.1, 4, "failed")]
LAPSED = [*_run(1, 2, 3, "failed", clean=False), *_run(2, 3, 4, "failed")]


@pytest.mark.parametrize(
    ("rules", "worker_rows", "shown"),
    [
        ([], FAILED, _shown("failed", 5)),
        (["BUDGET"], [*FAILED, *_run(3, 5, 6, "done")], None),
        ([], [*LAPSED, *_run(3, 5, 6, "done")], _shown("completed", 7)),
        ([], LAPSED, _shown("failed", 5)),
        (["LOST"], _run(1, 2, 3, "failed"), _shown("failed", 5)),
        (["LOST"], FAILED, _shown("410", 9)),
        (["LOST"], _run(1, 2, 3, "failed"), _shown("pending", 9)),
        (["MIXED"], _run(1, 2, 3, "failed"), _shown("completed", 9)),
        (["TWICE"], [*_run(1, 2, 3, "done"), *_run(2, 4, 5, "done")], None),
        (["TWICE"], [*_run(1, 2, 4, "lapsed"), *_run(2, 3, 5, "done")], None),
    ],
)
def test_a_broken_rule_is_found(
    rules: list[str],
    worker_rows: list[tuple[float, str, dict[str, Any]]],
    shown: tuple[float, str, dict[str, Any]] | None,
    tmp_path: Path,
) -> None:
    harness_rows = [*HARNESS, shown or _shown("completed", 99)]
    _write(tmp_path / "harness.jsonl", harness_rows)
    _write(tmp_path / "worker-i.jsonl", worker_rows)
    job = JobPlan(0, JOB, "plans", {"steps": [{"count": 1}]})
    schedule = Schedule.from_seed(1, 20)._replace(jobs=[job])
    found = check(TrueHistory(tmp_path, schedule))
    assert sorted({violation.rule for violation in found}) == rules


def _write(path: Path, rows: Any) -> None:
    lines = [
        json.dumps({"t": at_s, "event": event, **fields})
        for at_s, event, fields in rows
    ]
    path.write_text("\n".join(lines))
