from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.bench.decisions import DEPLOYMENTS
from magnoliapitch.bench.decisions import RunResult
from magnoliapitch.bench.decisions import make_traces
from magnoliapitch.bench.decisions.suite import BENCHED_POLICIES
from magnoliapitch.bench.decisions.suite import run_suite


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.trace import Trace


SEED = 1
SCALE = 0.25
POLICY_LABELS = ("fifo", "strict-priority", "waiting-first", "packing-first")


@pytest.fixture(scope="module")
def results() -> dict[str, RunResult]:
    month_end = make_traces(DEPLOYMENTS[:1], SEED, SCALE)[0]
    return _results_by_label(month_end)


def _results_by_label(trace: Trace) -> dict[str, RunResult]:
    policies = tuple(
        item for item in BENCHED_POLICIES if item.label in POLICY_LABELS
    )
    return {item.policy: item for item in run_suite((trace,), policies)}


def test_urgent_work_waits_no_longer_than_with_strict_priority(
    results: dict[str, RunResult],
) -> None:
    p99_ms = {
        label: result.waits_by_class["urgent"].p99_ms
        for label, result in results.items()
    }
    for profile in POLICY_LABELS[2:]:
        assert p99_ms[profile] * 5 <= p99_ms["fifo"]
        assert p99_ms[profile] <= p99_ms["strict-priority"]


def test_feasible_deadlines_are_met_where_fifo_misses_them(
    results: dict[str, RunResult],
) -> None:
    assert results["fifo"].deadline_share < 0.9
    for profile in POLICY_LABELS[2:]:
        assert results[profile].deadline_share >= 0.99


def test_packing_first_profile_nearly_reaches_the_offline_packing(
    results: dict[str, RunResult],
) -> None:
    assert results["packing-first"].packing >= 0.95
    assert results["fifo"].packing < 0.95


def test_each_profile_is_better_at_its_own_goal(
    results: dict[str, RunResult],
) -> None:
    waiting, packing = results["waiting-first"], results["packing-first"]
    assert packing.packing > waiting.packing
    assert (
        waiting.waits_by_class["batch"].p50_ms
        < packing.waits_by_class["batch"].p50_ms
    )


def test_jobs_that_fit_no_worker_are_refused(
    results: dict[str, RunResult],
) -> None:
    assert {item.refused for item in results.values()} == {4}


def test_failing_workers_do_not_delay_urgent_work_or_deadlines() -> None:
    faults = make_traces(DEPLOYMENTS[1:], SEED, 0.1)[1]
    result_by_label = _results_by_label(faults)
    assert (
        result_by_label["waiting-first"].failures * 4
        < result_by_label["fifo"].failures
    )
    assert result_by_label["waiting-first"].deadline_share >= 0.99
    assert (
        result_by_label["waiting-first"].waits_by_class["urgent"].max_ms
        <= 10_000
    )
