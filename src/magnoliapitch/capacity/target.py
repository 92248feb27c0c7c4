"""Size that the system is designed for."""

from __future__ import annotations

from typing import NamedTuple


SECONDS_PER_DAY = 86_400


class Target(NamedTuple):
    """Load and limits two years from now.

    :param control_core_share: processor share of a daemon for control.
    :param control_memory_mb: memory of a daemon, in mebibytes.
    :param control_bytes_per_second: traffic of a daemon for control.
    :param log_appends_per_second: appends that the log service takes.
    """

    workers: int = 18_000
    accelerators: int = 20_000
    jobs_per_day: int = 250_000
    starts_per_second: int = 2_000
    running_tasks: int = 110_000
    services_share: float = 0.2
    teams: int = 140
    urgent_start_s: int = 10
    regions: int = 7
    zones: int = 22
    changes_per_day: int = 10_000
    change_in_force_s: int = 7
    control_core_share: float = 0.012
    control_memory_mb: int = 256
    control_bytes_per_second: int = 13_000
    failures_per_day: int = 260
    restarts_per_day: int = 4_900
    log_appends_per_second: int = 200

    @property
    def tasks_per_worker(self) -> float:
        """Running tasks of an average worker."""
        return self.running_tasks / self.workers

    @property
    def changes_per_second(self) -> float:
        """Configuration changes in an average second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def instance_changes_per_second(self) -> float:
        """Instances that fail or are replaced in an average second."""
        changes = self.failures_per_day + self.restarts_per_day
        return changes / SECONDS_PER_DAY

    @property
    def jobs_per_second(self) -> float:
        """Jobs submitted in an average second."""
        return self.jobs_per_day / SECONDS_PER_DAY
