"""Publication of the leader's load figures."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.admission import LoadFigures
from magnoliapitch.admission import encode_figures
from magnoliapitch.admission import limited_figures
from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import LOAD_KEY
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.planner.load import LoadEstimator


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.ledger.load_view import LoadView
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.workload.configuration import Configuration


MIN_INTERVAL_MS = 500
# Instances use figures of up to 2 s, so unchanged ones are repeated.
REPEAT_INTERVAL_MS = 1_000
# The store's limit of a record is 262,144.
MAX_LOAD_BYTES = 196_608


class _Publication(NamedTuple):
    figures: LoadFigures
    taken_ms: int


class LoadPublisher:
    """Adds the load figures to the leader's batches.

    :param view: figures of this instance, which does not read its own records
        while it leads.
    """

    def __init__(
        self,
        estimator: LoadEstimator,
        epoch: int,
        view: LoadView,
        metrics: Metrics,
    ) -> None:
        self._estimator = estimator
        self._epoch = epoch
        self._view = view
        self._metrics = metrics
        self._sequence = 0
        self._computed_ms: int | None = None
        self._newest: _Publication | None = None
        self._due: LoadFigures | None = None
        self._in_commit: _Publication | None = None

    @classmethod
    def from_planner(
        cls,
        planner: Planner,
        state: SchedulerState,
        epoch: int,
        view: LoadView,
        configuration: Callable[[], Configuration | None],
        metrics: Metrics,
    ) -> LoadPublisher | None:
        """Return the publisher, or None if the options do not ask for it."""
        if not planner.options.admission:
            return None
        estimator = LoadEstimator(
            state,
            planner,
            standby_services=lambda: _standby_services(configuration()),
        )
        return cls(estimator, epoch, view, metrics)

    def prepare(self, now_ms: int) -> bool:
        """Compute the figures if it is time to.

        :return: whether figures are to be published with the next batch.
        """
        if self._due is not None:
            return True
        computed_ms = self._computed_ms
        if computed_ms is not None and now_ms - computed_ms < MIN_INTERVAL_MS:
            return False
        self._computed_ms = now_ms
        figures = self._compute(now_ms)
        if figures is None:
            return False
        if self._is_recently_published(figures, now_ms):
            return False
        self._due = figures
        return True

    def _is_recently_published(
        self, figures: LoadFigures, now_ms: int
    ) -> bool:
        newest = self._newest
        return (
            newest is not None
            and newest.figures.has_same_load(figures)
            and now_ms - newest.taken_ms < REPEAT_INTERVAL_MS
        )

    def _compute(self, now_ms: int) -> LoadFigures | None:
        """Return the figures; None if they cannot be computed.

        Without figures every job is admitted. The leader's rounds must not
        end with them.
        """
        try:
            with self._metrics.timing("load_figures"):
                return self._estimator.figures(
                    self._epoch, self._sequence + 1, now_ms
                )
        except Exception as error:
            log_event("load-figures-failed", error=error)
            return None

    def take_records(self, now_ms: int) -> tuple[KeyedRecord, ...]:
        """Return the record of the figures that are due, if there are any."""
        figures, self._due = self._due, None
        if figures is None:
            return ()
        self._sequence = figures.sequence
        self._newest = _Publication(figures, now_ms)
        limited = limited_figures(figures, MAX_LOAD_BYTES)
        self._in_commit = _Publication(limited, now_ms)
        return (KeyedRecord(LOAD_KEY, encode_figures(limited)),)

    def record_stored(self) -> None:
        """Record that the last batch was stored."""
        if self._in_commit is not None:
            self._view.update(*self._in_commit)
            self._in_commit = None


def _standby_services(configuration: Configuration | None) -> frozenset[str]:
    if configuration is None:
        return frozenset()
    return frozenset(
        service.name
        for service in configuration.services_by_name.values()
        if service.is_standby
    )


__all__ = ["LoadPublisher"]
