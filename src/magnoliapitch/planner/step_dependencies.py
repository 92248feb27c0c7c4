"""Dependencies between the steps of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.planner.tracked import TrackedStep


class StepDependencies:
    """Counts for how many others each step of a job still waits.

    Over the whole job, the ends of its steps take time linear in its steps
    and dependencies.

    :param steps_by_occurrence: steps of each occurrence, some of which may be
        done.
    :ivar unfinished_count: number of steps that are not done.
    """

    __slots__ = (
        "_awaited_counts",
        "_dependent_numbers",
        "_steps_by_occurrence",
        "unfinished_count",
    )

    def __init__(
        self, steps_by_occurrence: Sequence[Sequence[TrackedStep]]
    ) -> None:
        self._steps_by_occurrence = steps_by_occurrence
        specs = [step.spec for step in steps_by_occurrence[0]]
        self._dependent_numbers: list[list[int]] = [[] for _ in specs]
        counts: list[int] = []
        for number, spec in enumerate(specs):
            earlier_numbers = set(spec.depends_on)
            counts.append(len(earlier_numbers))
            for earlier in earlier_numbers:
                self._dependent_numbers[earlier].append(number)
        self._awaited_counts = [list(counts) for _ in steps_by_occurrence]
        self.unfinished_count = len(specs) * len(steps_by_occurrence)
        for steps in steps_by_occurrence:
            for step in steps:
                if step.is_done:
                    self.record_done(step)

    def record_done(self, step: TrackedStep) -> list[TrackedStep]:
        """Record that a step became done.

        :return: steps that wait for no other from now on.
        """
        self.unfinished_count -= 1
        steps = self._steps_by_occurrence[step.key.occurrence]
        counts = self._awaited_counts[step.key.occurrence]
        released: list[TrackedStep] = []
        for number in self._dependent_numbers[step.key.step]:
            counts[number] -= 1
            if not counts[number]:
                released.append(steps[number])
        return released

    def released_steps(self) -> list[TrackedStep]:
        """Return the steps that are not done and wait for no other."""
        return [
            step
            for steps, counts in zip(
                self._steps_by_occurrence, self._awaited_counts, strict=True
            )
            for step, count in zip(steps, counts, strict=True)
            if not count and not step.is_done
        ]


__all__ = ["StepDependencies"]
