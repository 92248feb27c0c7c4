"""Load and resource limits that the system is designed for."""

from __future__ import annotations

from typing import NamedTuple


SECONDS_PER_DAY = 86_400


class Target(NamedTuple):
    """Load expected within two years, and limits of resource use.

    :param starts_per_second: task starts at the peak.
    :param running_tasks: tasks that run at once, services included.
    :param services_share: share of the running tasks that are services.
    :param urgent_start_max_s: longest time until an urgent task starts.
    :param changes_per_day: configuration changes.
    :param change_in_force_max_s: longest time until a configuration change
        is in force on every instance.
    :param control_core_share: limit of processor use for control on one
        instance, 1.0 for one whole core.
    :param control_memory_mb: limit of memory on one instance, in
        mebibytes.
    :param control_bytes_per_second: limit of control traffic of one
        instance.
    :param log_appends_per_second: appends that the log service accepts.
    """

    workers: int = 18_000
    accelerators: int = 20_000
    jobs_per_day: int = 250_000
    starts_per_second: int = 2_000
    running_tasks: int = 110_000
    services_share: float = 0.2
    teams: int = 140
    urgent_start_max_s: int = 10
    regions: int = 7
    zones: int = 22
    changes_per_day: int = 10_000
    change_in_force_max_s: int = 7
    control_core_share: float = 0.012
    control_memory_mb: int = 256
    control_bytes_per_second: int = 13_000
    failures_per_day: int = 260
    restarts_per_day: int = 4_900
    log_appends_per_second: int = 200

    @property
    def tasks_per_worker(self) -> float:
        """Average number of running tasks on a worker."""
        return self.running_tasks / self.workers

    @property
    def changes_per_second(self) -> float:
        """Average rate of configuration changes."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def instance_changes_per_second(self) -> float:
        """Average rate of instances that fail or are restarted."""
        changes = self.failures_per_day + self.restarts_per_day
        return changes / SECONDS_PER_DAY

    @property
    def jobs_per_second(self) -> float:
        """Average rate of job submissions."""
        return self.jobs_per_day / SECONDS_PER_DAY
