from __future__ import annotations

import pytest

from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.resource import Resources
from tests.decision.conftest import SchedulerHarness
from tests.decision.conftest import task


WORKERS = (
    WorkerShape("w0", "r", "z", Resources(4_000, 8_000, 0)),
    WorkerShape("w1", "r", "z", Resources(8_000, 4_000, 2)),
)


@pytest.mark.parametrize(
    ("request_", "hint"),
    [
        (task(cores=9), "declare at most 8000"),
        (task(accelerators=3), "add a larger worker"),
        (task(cores=7), "no single worker"),
        (task(cores=2, gang_size=7), "all workers together have 4"),
        (task(entry="small", cores=2), "raise limits.memory_mb to 2000"),
    ],
)
def test_infeasibility_reason_says_what_to_change(
    harness: SchedulerHarness, request_: TaskRequest, hint: str
) -> None:
    harness.set_entry("small", "clubs", Limits(memory_mb=1_500))
    assert hint in harness.scheduler.infeasibility_reason(request_, WORKERS)


def test_infeasibility_is_checked_again_when_the_catalogue_changes(
    harness: SchedulerHarness,
) -> None:
    wanted = task(entry="small", cores=2)
    harness.set_entry("small", "clubs", Limits(memory_mb=1_500))
    assert harness.scheduler.infeasibility_reason(wanted, WORKERS)
    harness.set_entry("small", "clubs", Limits(memory_mb=2_000))
    assert harness.scheduler.infeasibility_reason(wanted, WORKERS) == ""
    assert harness.scheduler.infeasibility_reason(wanted, ()) == ""
