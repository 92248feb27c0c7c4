"""Steps that may start, of which planning rounds consider a limited number."""

from __future__ import annotations

from collections import Counter
from itertools import chain
from itertools import islice
from typing import TYPE_CHECKING

from magnoliapitch.planner.fair_shares import fair_shares
from magnoliapitch.planner.ranking import is_down


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


# Bounds the duration of a round. Longer ones also mean fewer calls to the
# advisor, of which each round makes as many as are idle.
MAX_CONSIDERED_STEPS = 1_000
# This part of a queue's share is exchanged in each round while others wait
# behind it.
EXCHANGE_DIVISOR = 2


class WaitingSteps:
    """Steps that may start and have startable tasks.

    The time that a round takes grows with the steps that it considers. If
    more wait, they are considered in turn: those that rank worst make room
    for others of their queue, and those that rank best stay. Queues have fair
    shares of the considered steps, so that a backlog of one does not delay
    the steps of another.

    :ivar considered: the steps that the next round considers.
    :ivar behind_count: number of steps that wait behind them.
    """

    def __init__(self) -> None:
        self.considered: dict[StepKey, TrackedStep] = {}
        self.behind_count = 0
        self._behind_by_queue: dict[str, _StepsBehind] = {}

    def add(self, step: TrackedStep) -> None:
        """Add a step, unless it is among them."""
        if step.key in self.considered:
            return
        is_full = len(self.considered) >= MAX_CONSIDERED_STEPS
        if is_full or self.behind_count:
            self._put_behind(step)
            return
        self.considered[step.key] = step

    def discard(self, step: TrackedStep) -> None:
        """Remove a step if it is among them."""
        if self.considered.pop(step.key, None) is not None:
            return
        behind = self._behind_by_queue.get(step.job.spec.queue)
        if behind is not None and behind.discard(step.key):
            self.behind_count -= 1

    def __iter__(self) -> Iterator[TrackedStep]:
        """Return all steps, the considered ones first."""
        return chain(self.considered.values(), *self._behind_by_queue.values())

    def exchange(self, ranked_steps: list[TrackedStep], now_ms: int) -> None:
        """Choose the steps that the next round considers.

        :param ranked_steps: the steps of the round before, the worst last.
        """
        if not self.behind_count:
            return
        considered_counts = Counter(
            step.job.spec.queue for step in self.considered.values()
        )
        shares = self._shares(considered_counts)
        self._evict(ranked_steps, considered_counts, shares, now_ms)
        for queue, behind in self._behind_by_queue.items():
            room = MAX_CONSIDERED_STEPS - len(self.considered)
            missing = shares[queue] - considered_counts[queue]
            for step in behind.take(min(room, missing)):
                self.considered[step.key] = step
                self.behind_count -= 1

    def _shares(self, considered_counts: Counter[str]) -> dict[str, int]:
        """Return how many steps of each queue are considered."""
        waiting_counts = considered_counts.copy()
        for queue, behind in self._behind_by_queue.items():
            waiting_counts[queue] += len(behind)
        return fair_shares(waiting_counts, MAX_CONSIDERED_STEPS)

    def _evict(
        self,
        ranked_steps: list[TrackedStep],
        considered_counts: Counter[str],
        shares: dict[str, int],
        now_ms: int,
    ) -> None:
        """Put steps behind the others, the worst ones of each queue first.

        Those with a ticket, or that wait for one, could use it if they stay.
        """
        excess_counts = {
            queue: count - shares[queue] + self._exchanged_count(queue, shares)
            for queue, count in considered_counts.items()
        }
        for step in reversed(ranked_steps):
            queue = step.job.spec.queue
            if excess_counts.get(queue, 0) <= 0:
                continue
            if step.has_call_in_flight or step.newest_ticket_until_ms > now_ms:
                continue
            if self.considered.get(step.key) is not step:
                continue
            del self.considered[step.key]
            excess_counts[queue] -= 1
            considered_counts[queue] -= 1
            self._behind(queue).seen[step.key] = step
            self.behind_count += 1

    def _exchanged_count(self, queue: str, shares: dict[str, int]) -> int:
        """Return how many steps of a queue make room for others of it."""
        behind = self._behind_by_queue.get(queue)
        if behind is None:
            return 0
        return min(len(behind), max(1, shares[queue] // EXCHANGE_DIVISOR))

    def _put_behind(self, step: TrackedStep) -> None:
        behind = self._behind(step.job.spec.queue)
        if step.key in behind:
            return
        steps = behind.down if is_down(step) else behind.fresh
        steps[step.key] = step
        self.behind_count += 1

    def _behind(self, queue: str) -> _StepsBehind:
        behind = self._behind_by_queue.get(queue)
        if behind is None:
            behind = self._behind_by_queue[queue] = _StepsBehind()
        return behind


class _StepsBehind:
    """Steps of one queue that wait to be considered, by key.

    :ivar down: services that went down.
    :ivar fresh: other steps that no round has considered yet.
    :ivar seen: steps that a round has considered.
    """

    __slots__ = ("down", "fresh", "seen")

    def __init__(self) -> None:
        self.down: dict[StepKey, TrackedStep] = {}
        self.fresh: dict[StepKey, TrackedStep] = {}
        self.seen: dict[StepKey, TrackedStep] = {}

    def __len__(self) -> int:
        return len(self.down) + len(self.fresh) + len(self.seen)

    def __iter__(self) -> Iterator[TrackedStep]:
        return chain(
            self.down.values(), self.fresh.values(), self.seen.values()
        )

    def __contains__(self, key: StepKey) -> bool:
        return key in self.down or key in self.fresh or key in self.seen

    def discard(self, key: StepKey) -> bool:
        """Remove a step; return whether it was among them."""
        return any(
            steps.pop(key, None) is not None
            for steps in (self.down, self.fresh, self.seen)
        )

    def take(self, count: int) -> list[TrackedStep]:
        """Remove and return the steps to consider next.

        Services that are down come first, then steps that may rank before
        all that rounds have considered.
        """
        taken: list[TrackedStep] = []
        for steps in (self.down, self.fresh, self.seen):
            taken += _take_first(steps, count - len(taken))
        return taken


def _take_first(
    steps: dict[StepKey, TrackedStep], count: int
) -> list[TrackedStep]:
    taken = list(islice(steps.values(), max(0, count)))
    for step in taken:
        del steps[step.key]
    return taken


__all__ = ["MAX_CONSIDERED_STEPS", "WaitingSteps"]
