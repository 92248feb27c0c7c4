from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.bench.decisions import FLEETS
from magnoliapitch.bench.decisions import RunResult
from magnoliapitch.bench.decisions import make_traces
from magnoliapitch.bench.decisions.suite import BENCHED
from magnoliapitch.bench.decisions.suite import run_suite


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.trace import Trace


SEED = 1
SCALE = 0.25
LABELS = ("fifo", "strict-priority", "waiting-first", "packing-first")


@pytest.fixture(scope="module")
def results() -> dict[str, RunResult]:
    month_end = make_traces(FLEETS[:1], SEED, SCALE)[0]
    return _run(month_end)


def _run(trace: Trace) -> dict[str, RunResult]:
    chosen = tuple(item for item in BENCHED if item.label in LABELS)
    return {item.policy: item for item in run_suite((trace,), chosen)}


def test_urgent_work_waits_no_longer_than_by_strict_priority(
    results: dict[str, RunResult],
) -> None:
    p99_ms = {
        label: result.waits_by_class["urgent"].p99_ms
        for label, result in results.items()
    }
    for profile in LABELS[2:]:
        assert p99_ms[profile] * 5 <= p99_ms["fifo"]
        assert p99_ms[profile] <= p99_ms["strict-priority"]


def test_feasible_deadlines_are_met_where_fifo_misses_them(
    results: dict[str, RunResult],
) -> None:
    assert results["fifo"].deadline_share < 0.9
    for profile in LABELS[2:]:
        assert results[profile].deadline_share >= 0.99


def test_bulk_work_packs_as_if_known_in_advance(
    results: dict[str, RunResult],
) -> None:
    assert results["packing-first"].packing >= 0.95
    assert results["fifo"].packing < 0.95


def test_each_profile_wins_on_its_own_measure(
    results: dict[str, RunResult],
) -> None:
    waiting, packing = results["waiting-first"], results["packing-first"]
    assert packing.packing > waiting.packing
    assert (
        waiting.waits_by_class["batch"].p50_ms
        < packing.waits_by_class["batch"].p50_ms
    )


def test_what_can_never_run_is_refused(results: dict[str, RunResult]) -> None:
    assert {item.refused for item in results.values()} == {4}


def test_failing_workers_do_not_ruin_the_peak() -> None:
    faults = make_traces(FLEETS[1:], SEED, 0.1)[1]
    found = _run(faults)
    assert found["waiting-first"].failures * 4 < found["fifo"].failures
    assert found["waiting-first"].deadline_share >= 0.99
    assert found["waiting-first"].waits_by_class["urgent"].max_ms <= 10_000
