"""Capacity of workers once the runs that are being stopped have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.tracked import TrackedRun
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


class _Saved(NamedTuple):
    free: Resources
    free_now: Resources
    victims: list[TrackedRun]


class WorkerRoom:
    """Capacity of one worker that waiting steps will get.

    :ivar free: capacity without the runs that are being stopped, less what
        was taken.
    :ivar free_now: the part of it that is free already; it may become
        negative.
    :ivar victims: runs that were chosen to be preempted for it.
    :param planned: capacity that starts of this round reserve.
    """

    __slots__ = ("_saved", "free", "free_now", "victims", "worker")

    def __init__(self, worker: TrackedWorker, planned: Resources) -> None:
        self.worker = worker
        self.free_now = worker.free.minus(planned)
        self.free = self.free_now
        self.victims: list[TrackedRun] = []
        self._saved: _Saved | None = None
        for run in worker.runs:
            if run.is_stopping:
                self.free = self.free.plus(run.resources)

    def take(self, amount: Resources, victims: Iterable[TrackedRun]) -> None:
        """Take capacity, after that of further victims was added."""
        if self._saved is None:
            self._saved = _Saved(self.free, self.free_now, [*self.victims])
        for run in victims:
            self.victims.append(run)
            self.free = self.free.plus(run.resources)
        self.free = self.free.minus(amount)
        self.free_now = self.free_now.minus(amount)

    def restore(self) -> None:
        """Undo what was taken since the last ``keep``."""
        if self._saved is not None:
            self.free, self.free_now, self.victims = self._saved
            self._saved = None

    def spare_victims(self) -> None:
        """Let the runs go on that were chosen since the last ``keep``.

        What was taken stays taken, so that ``free`` may become negative.
        """
        if self._saved is None:
            return
        former = self._saved.victims
        for run in self.victims:
            if run not in former:
                self.free = self.free.minus(run.resources)
        self.victims = former

    def keep(self) -> None:
        """Make what was taken final."""
        self._saved = None

    def victims_for(
        self,
        step: TrackedStep,
        preemptible: Iterable[TrackedRun],
        ends_soon: Callable[[TrackedRun], bool],
        coming: Resources = NO_RESOURCES,
    ) -> list[TrackedRun] | None:
        """Return the fewest and least advanced runs that free a task's room.

        :param preemptible: runs of this worker that may be preempted, the
            least advanced first.
        :param ends_soon: whether stopping a run saves no time.
        :param coming: capacity of runs that are waited for besides.
        :return: empty if the task fits without, None if it never fits.
        """
        needed = step.reservation
        free = self.free.plus(coming)
        if needed.fits(free):
            return []
        left: list[TrackedRun] = []
        for run in preemptible:
            if run in self.victims:
                continue
            if needed.fits(free.plus(run.resources)) and not ends_soon(run):
                return [run]
            left.append(run)
        return _several_victims_for(needed, free, left, ends_soon)


def _several_victims_for(
    needed: Resources,
    free: Resources,
    runs: list[TrackedRun],
    ends_soon: Callable[[TrackedRun], bool],
) -> list[TrackedRun] | None:
    chosen: list[TrackedRun] = []
    for run in sorted(runs, key=lambda run: -run.resources.cpu_millis):
        if ends_soon(run):
            continue
        chosen.append(run)
        free = free.plus(run.resources)
        if needed.fits(free):
            break
    else:
        return None
    for run in list(chosen):
        if needed.fits(free.minus(run.resources)):
            chosen.remove(run)
            free = free.minus(run.resources)
    return chosen
