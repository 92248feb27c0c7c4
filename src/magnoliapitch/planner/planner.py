"""Decides in rounds which tasks start where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.duration import Durations
from magnoliapitch.planner.order import rank_of
from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedAsk
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.planner.plan import PlannedStop
from magnoliapitch.planner.room import Slot
from magnoliapitch.planner.room import allows
from magnoliapitch.planner.room import spare_tasks
from magnoliapitch.planner.room import usable_slots
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.planner.book import Book
    from magnoliapitch.planner.entry import JobEntry
    from magnoliapitch.planner.entry import RunEntry
    from magnoliapitch.planner.entry import StepEntry
    from magnoliapitch.planner.entry import TaskEntry


# A permit must outlast the way of the start to the worker.
TICKET_RESERVE_MS = 400
# One call names at most this many workers; it costs time for each.
ASK_MAX_WORKERS = 30
# After a failed start the step is tried again no sooner than this.
RETRY_PAUSE_MS = 200
# Ticket and end of its validity where the advisor gave none.
NO_TICKET = ("", 0)


class Planner:
    """Plans rounds on a book; remembers what it learned of durations."""

    def __init__(self) -> None:
        self.durations = Durations()

    def note_done(self, run: RunEntry, now_ms: int) -> None:
        """Learn from a run that was done."""
        if run.started_ms is not None and not run.resumed_percent:
            self.durations.learn(
                run.task.step.job.queue.name, now_ms - run.ordered_ms
            )

    def plan(self, book: Book, now_ms: int, wall_ms: int) -> Plan:
        """Return the actions of one round.

        :param now_ms: time by the clock of the book's times.
        :param wall_ms: wall-clock time, ms since 1970.
        """
        round_ = _Round(self.durations, book, now_ms)
        steps = [
            step
            for job in book.jobs_by_id.values()
            if job.outcome is JobOutcome.OPEN
            for step in _ready_steps(job, now_ms, wall_ms)
        ]
        ranked = sorted(
            ((rank_of(step, self.durations, now_ms), step) for step in steps),
            key=lambda pair: (pair[0], pair[1].key),
        )
        for _, step in ranked:
            round_.place(step)
        return Plan(tuple(round_.starts), _stops(book), tuple(round_.asks))


class _Round:
    def __init__(self, durations: Durations, book: Book, now_ms: int) -> None:
        self.starts: list[PlannedStart] = []
        self.asks: list[PlannedAsk] = []
        self._durations = durations
        self._now_ms = now_ms
        self._slots = usable_slots(list(book.workers_by_id.values()))

    def place(self, step: StepEntry) -> None:
        """Start the waiting tasks of a step as far as there is room."""
        tasks = step.waiting_tasks()
        if not tasks or self._now_ms < step.retry_ms:
            return
        if step.spec.is_gang and len(tasks) < step.spec.task_count:
            return
        slots = [slot for slot in self._slots if allows(slot, step)]
        if step.job.queue.advice is not None:
            slots = self._permitted(step, slots)
        chosen = self._choose(step, slots, len(tasks))
        if step.spec.is_gang and len(chosen) < len(tasks):
            return
        lacking = [slot for slot in chosen if not self._has_ticket(step, slot)]
        self._ask(step, lacking)
        if lacking and step.spec.is_gang:
            return
        ready = [slot for slot in chosen if slot not in lacking]
        self._start(step, tasks, ready)

    def _permitted(self, step: StepEntry, slots: list[Slot]) -> list[Slot]:
        unasked = [
            slot for slot in slots if slot.worker.worker_id not in step.asked
        ]
        good = [slot for slot in slots if slot.worker.worker_id in step.good]
        if not step.is_asking and len(unasked) * 4 > len(slots):
            self._ask(step, unasked)
        return good

    def _has_ticket(self, step: StepEntry, slot: Slot) -> bool:
        if step.job.queue.advice is None:
            return True
        _, valid_until_ms = step.tickets_by_worker.get(
            slot.worker.worker_id, NO_TICKET
        )
        return valid_until_ms >= self._now_ms + TICKET_RESERVE_MS

    def _ask(self, step: StepEntry, slots: list[Slot]) -> None:
        """Ask about workers, and keep their room in this round."""
        if step.is_asking or step.job.queue.advice is None:
            return
        names = list(dict.fromkeys(slot.worker.worker_id for slot in slots))
        names = names[:ASK_MAX_WORKERS]
        if not names:
            return
        advice = step.job.queue.advice
        cost_ms = advice.decision_ms + advice.per_worker_ms * len(names)
        self.asks.append(
            PlannedAsk(
                step.key, tuple(names), step.job.queue.priority, cost_ms
            )
        )

    def _choose(
        self, step: StepEntry, slots: list[Slot], count: int
    ) -> list[Slot]:
        """Return the worker of each task, fullest workers first."""
        chosen: list[Slot] = []
        for slot in sorted(slots, key=lambda slot: slot.free.cpu_millis):
            spare = min(count - len(chosen), spare_tasks(slot, step))
            for _ in range(spare):
                slot.take(step.charge)
                chosen.append(slot)
            if len(chosen) == count:
                break
        if step.spec.is_gang and len(chosen) < count:
            for slot in chosen:
                slot.free = slot.free.plus(step.charge)
        return chosen

    def _start(
        self, step: StepEntry, tasks: list[TaskEntry], slots: list[Slot]
    ) -> None:
        run = max(task.runs for task in step.tasks) + 1
        for task, slot in zip(tasks, slots, strict=False):
            worker_id = slot.worker.worker_id
            number = run if step.spec.is_gang else task.runs + 1
            ticket = step.tickets_by_worker.get(worker_id, NO_TICKET)[0]
            self.starts.append(
                PlannedStart(task.key, number, worker_id, ticket)
            )


def _ready_steps(job: JobEntry, now_ms: int, wall_ms: int) -> list[StepEntry]:
    ready: list[StepEntry] = []
    for occurrence, steps in enumerate(job.steps):
        if wall_ms < job.spec.due_ms(occurrence) and job.spec.run_count:
            continue
        for step in steps:
            if step.is_done:
                continue
            if step.ready_ms is None:
                if not all(
                    steps[number].is_done for number in step.spec.depends_on
                ):
                    continue
                step.ready_ms = now_ms
            ready.append(step)
    return ready


def _stops(book: Book) -> tuple[PlannedStop, ...]:
    return tuple(
        PlannedStop(run.task.key, run.run, worker.worker_id, _reason(run))
        for worker in book.workers_by_id.values()
        for run in worker.runs
        if run.is_stopping or run.task.step.job.outcome is not JobOutcome.OPEN
    )


def _reason(run: RunEntry) -> str:
    outcome = run.task.step.job.outcome
    return "superseded" if outcome is JobOutcome.OPEN else f"job-{outcome}"
