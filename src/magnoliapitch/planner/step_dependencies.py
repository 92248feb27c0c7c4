"""Dependencies between the steps of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.planner.job_occurrences import JobOccurrences
    from magnoliapitch.planner.tracked import TrackedStep


class StepDependencies:
    """Counts for how many others each step of a job still waits.

    Over the whole job, the ends of its steps take time linear in its steps
    and dependencies.

    :param occurrences: steps of each occurrence; some of those that were made
        may be done.
    :ivar unfinished_count: number of steps that are not done.
    """

    __slots__ = (
        "_awaited_counts",
        "_dependent_numbers",
        "_first_counts",
        "_occurrences",
        "unfinished_count",
    )

    def __init__(self, occurrences: JobOccurrences) -> None:
        self._occurrences = occurrences
        specs = occurrences.step_specs
        self._dependent_numbers: list[list[int]] = [[] for _ in specs]
        # For how many others each step waits before any of them is done.
        self._first_counts: list[int] = []
        for number, spec in enumerate(specs):
            earlier_numbers = set(spec.depends_on)
            self._first_counts.append(len(earlier_numbers))
            for earlier in earlier_numbers:
                self._dependent_numbers[earlier].append(number)
        self._awaited_counts: dict[int, list[int]] = {}
        self.unfinished_count = len(specs) * len(occurrences)
        self.unfinished_count -= len(specs) * occurrences.put_away_count
        for step in occurrences.made_steps():
            if step.is_done:
                self.record_done(step)

    def record_done(self, step: TrackedStep) -> list[TrackedStep]:
        """Record that a step became done.

        :return: steps that wait for no other from now on.
        """
        self.unfinished_count -= 1
        self._occurrences.note_possible_end(step.key.occurrence)
        steps = self._occurrences[step.key.occurrence]
        counts = self._counts(step.key.occurrence)
        released: list[TrackedStep] = []
        for number in self._dependent_numbers[step.key.step]:
            counts[number] -= 1
            if not counts[number]:
                released.append(steps[number])
        return released

    def released_steps(self, occurrence: int) -> list[TrackedStep]:
        """Return the steps that are not done and wait for no other."""
        steps = self._occurrences[occurrence]
        counts = self._counts(occurrence)
        return [
            step
            for step, count in zip(steps, counts, strict=True)
            if not count and not step.is_done
        ]

    def forget(self, occurrence: int) -> None:
        """Drop what is only needed until an occurrence has ended."""
        self._awaited_counts.pop(occurrence, None)

    def _counts(self, occurrence: int) -> list[int]:
        """Return for how many others each step of an occurrence waits."""
        return self._awaited_counts.setdefault(
            occurrence, list(self._first_counts)
        )


__all__ = ["StepDependencies"]
