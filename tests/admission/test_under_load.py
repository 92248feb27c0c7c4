"""Admission under load, in virtual time and without a network.

Each test names the load that it answers. The jobs of a shadow run are stored
although they are rejected, which shows whether one could have been of use.
"""

from __future__ import annotations

import pytest

from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from tests.admission.load import ADMISSION
from tests.admission.load import CONTENDED_KINDS
from tests.admission.load import AdmittedLoad
from tests.control.load import JobKind


WORKER_COUNT = 8
CORES_PER_WORKER = 32
# 83% of the capacity; the customer's jobs have 1.2 to 1.5 steps, these one.
CONTENDED_SCALE = 1.3 * WORKER_COUNT * CORES_PER_WORKER / 2_816
WARM_UP_MS = 8_000
OFF = PlanningOptions()

FLOOD = JobKind(
    "flood",
    0,
    4.0,
    8,
    2_000,
    Resources(4_000, 8_000),
    1.0,
    4.0,
    3_000,
    0.0,
    None,
    1.0,
)
BRIEF = JobKind(
    "brief",
    1,
    2.0,
    2,
    800,
    Resources(6_000, 8_000),
    1.0,
    1.5,
    250,
    0.0,
    None,
    1.0,
)


@pytest.mark.parametrize("kind", ["urgent", "batch", "plan"])
def test_a_burst_of_one_queue_rejects_no_job(kind: str) -> None:
    """2.3 times the usual rate of one queue for 4 s at 83% utilisation."""
    load = AdmittedLoad(WORKER_COUNT, CONTENDED_SCALE, stores_rejected=True)
    load.run(WARM_UP_MS)
    load.rate_factor_by_kind = {kind: 2.3}
    load.run(4_000)
    load.simulation.run(20_000)
    assert load.rejected == {}
    assert load.simulation.violations == []


def test_a_sustained_overload_rejects_no_job_that_is_of_use() -> None:
    """1.5 times the capacity for 20 s, in the proportions of the queues."""
    load = AdmittedLoad(WORKER_COUNT, CONTENDED_SCALE, stores_rejected=True)
    load.run(WARM_UP_MS)
    load.rate_factor_by_kind = {
        kind.name: 1.5 / 0.83 for kind in CONTENDED_KINDS
    }
    load.run(20_000)
    load.simulation.run(30_000)
    assert not any(load.is_useful(job_id) for job_id in load.rejected)


def _flooded(options: PlanningOptions, *, is_shadow: bool) -> AdmittedLoad:
    """Return a load after 20 s of 4 times the capacity in one queue."""
    load = AdmittedLoad(
        WORKER_COUNT // 2,
        0.5,
        options,
        (FLOOD, BRIEF),
        stores_rejected=is_shadow,
    )
    load.run(WARM_UP_MS)
    load.rate_factor_by_kind = {"flood": 4.0}
    load.run(20_000)
    load.rate_factor_by_kind = {}
    load.simulation.run(40_000)
    return load


def test_jobs_behind_a_flood_of_an_urgent_queue_are_rejected() -> None:
    """4 times the capacity in an urgent queue for 20 s, a brief one behind.

    Callers would otherwise wait for jobs that cannot be of use any more.
    """
    admitting = _flooded(ADMISSION, is_shadow=False).outcomes()["brief"]
    without = _flooded(OFF, is_shadow=False).outcomes()["brief"]
    assert admitting.rejected > 0
    assert admitting.useless < without.useless
    assert admitting.in_time >= without.in_time


def test_no_job_behind_a_flood_that_is_of_use_is_rejected() -> None:
    """The same load; what is rejected is stored all the same."""
    shadow = _flooded(ADMISSION, is_shadow=True)
    assert shadow.rejected
    assert not any(shadow.is_useful(job_id) for job_id in shadow.rejected)


def test_nothing_is_published_or_rejected_while_admission_is_off() -> None:
    load = AdmittedLoad(2, 1.0, OFF, (FLOOD, BRIEF))
    keys: set[str] = set()
    load.simulation.on_commit = lambda batch: keys.update(
        record.key for record in batch.states
    )
    load.run(6_000)
    assert "load" not in keys
    assert load.rejected == {}
