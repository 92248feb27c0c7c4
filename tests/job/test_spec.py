from __future__ import annotations

from typing import Any

import orjson
import pytest

from magnoliapitch.journal import ClusterState
from magnoliapitch.journal import apply_record
from magnoliapitch.journal.log import LogRecord


@pytest.mark.parametrize(
    ("resources", "accepted"),
    [
        ({"cpu_millis": 1, "memory_mb": 0}, True),
        ({"cpu_millis": -1}, False),
        ({"memory_mb": -1}, False),
        ({"accelerators": -1}, False),
        ({"cpu_millis": 10**9 + 1}, False),
    ],
)
def test_spec_rejects_negative_or_excessive_resources(
    resources: dict[str, Any], accepted: bool
) -> None:
    job = {"job_id": "j", "entry": "e", "tasks": 1, "resources": resources}
    entry = {"kind": "job.submit", "job": job, "unit": "rack-1"}
    data = orjson.dumps({"v": 1, "entries": [entry]})
    state = ClusterState()
    outcome = apply_record(state, LogRecord(0, data))
    assert outcome.outcomes[0].applied is accepted
    assert ("j" in state.jobs_by_id) is accepted
