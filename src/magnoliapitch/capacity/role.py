"""Resource use of a role, and the inputs from which it is computed."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.capacity.measurement import Measurement
from magnoliapitch.capacity.plan import Plan
from magnoliapitch.capacity.target import Target


US_PER_S = 1e6
BYTES_PER_MIB = 1 << 20


class Load(NamedTuple):
    """Resources that one role uses on one entry instance.

    :param core_share: processor use, 1.0 for one whole core.
    :param memory_mb: memory for state, in mebibytes.
    :param bytes_per_second: network traffic.
    :param messages_per_second: calls sent and received.
    """

    core_share: float = 0.0
    memory_mb: float = 0.0
    bytes_per_second: float = 0.0
    messages_per_second: float = 0.0


class Sizing(NamedTuple):
    """Inputs of the estimate: load, cluster layout and measured costs."""

    target: Target
    plan: Plan
    measurement: Measurement

    @property
    def entries(self) -> int:
        """Number of entry instances in all zones."""
        return self.target.zones * self.plan.entries_per_zone

    @property
    def workers_per_entry(self) -> float:
        """Average number of workers that one entry instance owns."""
        return self.target.workers / self.entries

    @property
    def catalogue_entries(self) -> int:
        """Number of entries in the catalogue of all teams."""
        return self.target.teams * self.plan.catalogue_entries_per_team

    def marginal_cost(self, name: str, size: float = 1.0) -> float:
        """Return the cost of a number of items, without the fixed cost.

        :param name: name of the measured slope.
        :param size: number of items, or items per second.
        :raises MeasurementError: if the slope was not measured.
        """
        return self.measurement.slope(name).per_item * size

    def fitted_cost(self, name: str, size: float) -> float:
        """Return the cost of a number of items, including the fixed cost.

        :param name: name of the measured slope.
        :param size: number of items.
        :raises MeasurementError: if the slope was not measured.
        """
        slope = self.measurement.slope(name)
        return slope.fixed + slope.per_item * size

    def core_share(self, name: str, per_second: float) -> float:
        """Return the processor use of events at a given rate.

        :param name: name of a measured slope in microseconds an event.
        :param per_second: events per second.
        :raises MeasurementError: if the slope was not measured.
        """
        return self.marginal_cost(name, per_second) / US_PER_S
