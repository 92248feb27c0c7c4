"""Cost of one role of an entry instance."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.target import Target


MICROSECONDS_PER_SECOND = 1e6
BYTES_PER_MB = 1 << 20


class Load(NamedTuple):
    """What one role costs one entry instance.

    :param core_share: share of a core.
    :param memory_mb: mebibytes of state.
    :param bytes_per_second: traffic.
    :param messages_per_second: calls made and answered.
    """

    core_share: float = 0.0
    memory_mb: float = 0.0
    bytes_per_second: float = 0.0
    messages_per_second: float = 0.0


class Sizing(NamedTuple):
    """Target, layout and measured slopes together."""

    target: Target
    plan: Plan
    measurement: Measurement

    @property
    def entries(self) -> int:
        """Entry instances in all zones."""
        return self.target.zones * self.plan.entries_per_zone

    @property
    def workers_per_entry(self) -> float:
        """Workers that one entry owns."""
        return self.target.workers / self.entries

    @property
    def catalogue_entries(self) -> int:
        """Entries of the catalogue."""
        return self.target.teams * self.plan.catalogue_entries_per_team

    def cost(self, name: str, size: float = 1.0) -> float:
        """Return a slope times a size, without its fixed part."""
        return self.measurement.slope(name).per_item * size

    def line(self, name: str, size: float) -> float:
        """Return the fitted cost at a size, with its fixed part."""
        slope = self.measurement.slope(name)
        return slope.fixed + slope.per_item * size

    def core_share(self, name: str, per_second: float) -> float:
        """Return the share of a core that events of a slope take."""
        return self.cost(name, per_second) / MICROSECONDS_PER_SECOND
