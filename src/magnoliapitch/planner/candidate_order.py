"""Order in which workers are chosen for a step and asked about."""

from __future__ import annotations

import zlib

from functools import partial
from itertools import chain
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.zone_order import rank_zones


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.candidates import CandidateWorkers
    from magnoliapitch.planner.duration import LearnedDurations
    from magnoliapitch.planner.tracked import TrackedStep


# One step in so many is placed on workers of all speeds on which it is in
# time. Otherwise fast and slow workers would run different queues only, and
# their speeds could not be compared.
MIXED_STEP_INTERVAL = 8
# The same while all workers count as equally fast. Every zone must then run
# tasks of some steps of the others, or else its speeds would remain unknown.
COMPARED_STEP_INTERVAL = 4


class CandidateOrder:
    """One zone after the other, workers with the least free CPU first.

    All workers count as equally fast.

    :param compares_speeds: whether some steps are placed without regard to
        zones, so that the workers of all zones run tasks of one step and
        their speeds can be compared.
    """

    def __init__(self, *, compares_speeds: bool = False) -> None:
        self._compares_speeds = compares_speeds

    def begin_round(self, workers: CandidateWorkers) -> None:
        """Prepare the workers of a planning round."""

    def for_start(
        self,
        step: TrackedStep,
        fitting: list[Candidate],
        has_ticket: Callable[[Candidate], bool],
        call_ms: float,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> list[Candidate]:
        """Return the workers for a step, the best first.

        Workers without a failed run of the step come first. Next come
        workers with a valid ticket, or for which one is being requested, so
        that a gang does not have to wait for another call. Then those of the
        zone in which the step is to run, so that a zone that is cut off holds
        up few jobs. Then those with the least free CPU, which leaves capacity
        for large tasks on the others.

        :param fitting: workers with enough free CPU for a task.
        :param call_ms: expected duration of an advisor call.
        """
        must_be_asked = partial(_must_be_asked, step, has_ticket)
        zone_ranks: dict[str, int] = {}
        if not (
            self._compares_speeds and _is_mixed(step, COMPARED_STEP_INTERVAL)
        ):
            zone_ranks = rank_zones(step, fitting, must_be_asked)
        return sorted(
            fitting,
            key=lambda candidate: (
                candidate.worker.worker_id in step.failed_worker_ids,
                must_be_asked(candidate),
                zone_ranks.get(candidate.info.zone, 0),
                candidate.free.cpu_millis,
            ),
        )

    def for_request(
        self,
        step: TrackedStep,
        workers: CandidateWorkers,
        now_ms: int,  # noqa: ARG002
    ) -> Iterator[Candidate]:
        """Return the workers to ask the advisor about, the best first."""
        return workers.eligible(step)


class SpeedOrder(CandidateOrder):
    """Slowest workers that are in time first, or else the fastest.

    Fast workers so stay free for tasks that need them, but never idle while
    others wait for capacity. Workers of one class of speeds keep the order of
    ``CandidateOrder``.
    """

    def __init__(self, durations: LearnedDurations) -> None:
        super().__init__(compares_speeds=True)
        self._durations = durations

    def begin_round(self, workers: CandidateWorkers) -> None:
        """Prepare the workers of a planning round."""
        candidates_by_id = workers.candidates_by_id
        for worker_id, number in self._durations.speeds.class_by_id.items():
            candidate = candidates_by_id.get(worker_id)
            if candidate is not None:
                candidate.speed_class = number

    def for_start(
        self,
        step: TrackedStep,
        fitting: list[Candidate],
        has_ticket: Callable[[Candidate], bool],
        call_ms: float,
        now_ms: int,
    ) -> list[Candidate]:
        """Return the workers for a step, the best first."""
        classes = self._durations.speeds.classes
        if len(classes) == 1:
            return super().for_start(
                step, fitting, has_ticket, call_ms, now_ms
            )
        limit = self._slowest_in_time(step, now_ms)
        asked_limit = (
            self._slowest_in_time(step, now_ms, call_ms) if call_ms else limit
        )
        if step.spec.is_gang:
            limit = asked_limit = self._gang_limit(step, fitting, asked_limit)
        is_mixed = _is_mixed(step)
        zone_ranks = rank_zones(
            step, fitting, partial(_must_be_asked, step, has_ticket)
        )

        def key(
            candidate: Candidate,
        ) -> tuple[bool, bool, bool, int, int, int]:
            must_be_asked = _must_be_asked(step, has_ticket, candidate)
            number = candidate.speed_class
            is_late = number < (asked_limit if must_be_asked else limit)
            has_failed = candidate.worker.worker_id in step.failed_worker_ids
            if is_mixed and not is_late:
                order = (0, 0, _shuffled(step, candidate))
            else:
                speed_order = -number if is_late else number
                zone_rank = zone_ranks.get(candidate.info.zone, 0)
                order = (speed_order, zone_rank, candidate.free.cpu_millis)
            return (has_failed, is_late, must_be_asked, *order)

        return sorted(fitting, key=key)

    def for_request(
        self, step: TrackedStep, workers: CandidateWorkers, now_ms: int
    ) -> Iterator[Candidate]:
        """Return the workers to ask the advisor about, the best first.

        Among those in time, and among the others, workers with free capacity
        come first. A step that is to be spread over all speeds needs permits
        for all of them.
        """
        classes = self._durations.speeds.classes
        if len(classes) == 1:
            return workers.eligible(step)
        limit = self._slowest_in_time(step, now_ms)
        if limit <= classes[0] and _is_mixed(step):
            return workers.eligible(step)
        in_time = [number for number in classes if number >= limit]
        late = [number for number in reversed(classes) if number < limit]
        return chain(
            _free_first(step, workers, in_time),
            _free_first(step, workers, late),
        )

    def _slowest_in_time(
        self, step: TrackedStep, now_ms: int, delay_ms: float = 0.0
    ) -> int:
        """Return the slowest class of workers on which a step is in time.

        :param delay_ms: time until the step can start.
        :return: the class; one above the fastest if none is in time.
        """
        if step.latest_end_ms is None or step.spec.is_long_running:
            return self._durations.speeds.classes[0]
        return self._durations.slowest_in_time(
            step, step.latest_end_ms - now_ms - delay_ms
        )

    def _gang_limit(
        self, step: TrackedStep, fitting: list[Candidate], limit: int
    ) -> int:
        """Return the class above which a gang is placed slowest first.

        A gang on workers of several classes would keep the faster ones busy
        for as long as the slower ones take. So it is placed on the slowest
        class that is in time and has room for all of it, or else on the
        fastest workers.
        """
        count_by_class = dict.fromkeys(self._durations.speeds.classes, 0)
        for candidate in fitting:
            number = candidate.speed_class
            if limit <= number and count_by_class[number] < step.waiting_count:
                count_by_class[number] += free_task_count(candidate, step)
        for number, count in count_by_class.items():
            if number >= limit and count >= step.waiting_count:
                return number
        return max(count_by_class) + 1


def _free_first(
    step: TrackedStep, workers: CandidateWorkers, classes: Sequence[int]
) -> Iterator[Candidate]:
    """Return the workers of some classes, those with free capacity first."""
    return chain.from_iterable(
        workers.eligible_of_class(step, number, is_full=is_full)
        for is_full in (False, True)
        for number in classes
    )


def _is_mixed(step: TrackedStep, interval: int = MIXED_STEP_INTERVAL) -> bool:
    """Return whether a step is placed on workers of all speeds and zones."""
    number = zlib.crc32(step.key.job_id.encode())
    return not step.spec.is_gang and not number % interval


def _shuffled(step: TrackedStep, candidate: Candidate) -> int:
    """Return a sort key that is random, but the same in every round."""
    return zlib.crc32(
        candidate.worker.worker_id.encode(),
        zlib.crc32(step.key.job_id.encode()),
    )


def _must_be_asked(
    step: TrackedStep,
    has_ticket: Callable[[Candidate], bool],
    candidate: Candidate,
) -> bool:
    return (
        candidate.worker.worker_id not in step.in_flight_worker_ids
        and not has_ticket(candidate)
    )


__all__ = ["CandidateOrder", "SpeedOrder"]
