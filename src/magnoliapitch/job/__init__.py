"""Jobs, which are sets of identical tasks that run on workers.

Jobs of several steps are in :mod:`magnoliapitch.workload`.
"""

from __future__ import annotations

from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.spec import lease_id_of
from magnoliapitch.job.spec import parse_lease_id


__all__ = ["JobSpec", "TaskOutcome", "lease_id_of", "parse_lease_id"]
