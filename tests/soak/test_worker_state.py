"""Tests of the soak's worker against the protocol's rules on running tasks."""

from __future__ import annotations

import json

from typing import Any

import pytest

from tests.soak.worker_state import WorkerLimits
from tests.soak.worker_state import WorkerState


MAX_HOLD_MS = 6_000


class Case:
    """A worker whose clock the test sets."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.rows: list[tuple[str, float, dict[str, Any]]] = []
        self.state = WorkerState(
            WorkerLimits(MAX_HOLD_MS, 1_000, 1_000, checks_admission=True),
            lambda: self.now_ms,
            lambda event, at_ms, **fields: self.rows.append(
                (event, at_ms, fields)
            ),
        )

    def at(self, now_ms: float) -> None:
        self.now_ms = now_ms
        self.state.advance()

    def start(
        self, task: str, run: int, deadline_ms: int, **fields: int
    ) -> Any:
        spec = {"salt": 0, "p": 1.0, "ms": [500, 500], "mem": 1, "gang": 0}
        spec["cpu"] = fields.get("cpu", 100)
        request = {
            "task": task,
            "run-id": run,
            "spec": json.dumps(spec),
            "deadline-ms": deadline_ms,
            "fencing-token": fields.get("token", 1),
        }
        return self.state.start(request)[1].get("reason", "ok")

    def hold(self, **fields: int) -> bool:
        request = {"fencing-token": fields.get("token", 1)}
        request |= {name.replace("_", "-"): n for name, n in fields.items()}
        return self.state.hold(request)

    def events(self, event: str) -> list[tuple[float, dict[str, Any]]]:
        return [
            (at, fields) for name, at, fields in self.rows if name == event
        ]


@pytest.fixture
def case() -> Case:
    return Case()


def test_what_runs_ends_with_the_lease_though_it_is_noticed_late(
    case: Case,
) -> None:
    case.start("j.0.0.0", 1, 1_400)
    case.at(9_000)
    ((at_ms, end),) = case.events("end")
    assert (at_ms, end["kind"]) == (1_400, "lapsed")


def test_a_lapse_is_recorded_with_nothing_running(case: Case) -> None:
    case.hold(deadline_ms=2_000)
    case.at(2_500)
    assert [at for at, _ in case.events("lapse")] == [2_000]


def test_an_end_that_was_acknowledged_after_a_lapse_is_not_taken_note_of(
    case: Case,
) -> None:
    case.start("j.0.0.0", 1, 2_000)
    case.start("j.0.0.1", 1, 2_000)
    case.at(1_600)
    case.hold(ack_seq=1)
    case.at(2_600)
    case.hold(ack_seq=2)
    noted = [fields["clean"] for _, fields in case.events("noted")]
    assert noted == [True, False]
    assert not case.state.report()["ended-runs"]


def test_a_refused_start_extends_the_lease_only_if_it_is_old_or_has_no_room(
    case: Case,
) -> None:
    case.start("j.0.0.0", 2, 2_000)
    assert case.start("j.0.0.0", 1, 2_200) == "old"
    assert case.start("j.0.0.1", 1, 2_400, cpu=2_000) == "room"
    case.hold(token=5)
    assert case.start("j.0.0.1", 1, 9_000, token=4) == "fence"
    assert case.start("j.0.0.1", 1, 900, token=5) == "late"
    case.at(9_000)
    assert [at for at, _ in case.events("lapse")] == [2_400]


def test_a_lease_is_never_shortened_and_at_most_as_long_as_allowed(
    case: Case,
) -> None:
    case.hold(deadline_ms=60_000)
    case.hold(deadline_ms=2_000)
    case.at(9_000)
    assert [at for at, _ in case.events("lapse")] == [1_000 + MAX_HOLD_MS]


def test_a_run_that_was_stopped_before_it_came_is_rejected(
    case: Case,
) -> None:
    stop = {"task": "j.0.0.0", "run-id": 3, "fencing-token": 1}
    case.state.stop(stop)
    assert case.start("j.0.0.0", 3, 3_000) == "old"
    assert case.start("j.0.0.0", 4, 3_000) == "ok"
    assert case.start("j.0.0.0", 4, 3_000) == "ok"
    assert len(case.events("start")) == 1


def test_ends_are_listed_500_at_a_time_until_they_are_acknowledged(
    case: Case,
) -> None:
    for number in range(600):
        case.start(f"j.0.0.{number}", 1, 6_000, cpu=1)
    case.at(2_000)
    for acknowledged, first in ((0, 1), (0, 1), (500, 501)):
        case.hold(ack_seq=acknowledged)
        assert case.state.report()["ended-runs"][0][0] == first
    assert len(case.state.report()["ended-runs"]) == 100
