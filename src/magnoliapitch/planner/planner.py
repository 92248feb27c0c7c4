"""Decides in rounds which tasks start where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import Room
from magnoliapitch.planner.candidates import Slot
from magnoliapitch.planner.candidates import spare_tasks
from magnoliapitch.planner.candidates import tasks_when_empty
from magnoliapitch.planner.duration import Durations
from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedAsk
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.planner.plan import PlannedStop
from magnoliapitch.planner.ranking import rank_of
from magnoliapitch.planner.worker_backoff import Trust
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.scheduler_state import Book
    from magnoliapitch.planner.tracked import RunEntry
    from magnoliapitch.planner.tracked import StepEntry


# A permit must outlast the way of the start to the worker.
TICKET_RESERVE_MS = 400
# The advisor accepts no more workers in one call.
CALL_MAX_WORKERS = 100
# A call takes long whatever it names, so that few workers are no gain.
ASK_MIN_WORKERS = 30
# About so many workers are permitted, and so many tasks are to fit on them.
EXPECTED_GOOD_SHARE = 0.35
EXPECTED_ROOM = 1.5
# Gangs that are kept ready to start; each needs a call all the while.
PREPARED_MAX_GANGS = 4
PREPARED_MAX_MS = 20_000
# Share of a worker's load that is expected to end soon.
SOON_SHARE = 0.5
# Bounds a round when very much waits.
ROUND_MAX_STEPS = 150
# Ticket and end of its validity where the advisor gave none.
NO_TICKET = ("", 0)


class Planner:
    """Plans rounds on a book; remembers what it learned of durations."""

    def __init__(self) -> None:
        self.durations = Durations()
        self.trust = Trust()

    def note_failed(self, run: RunEntry) -> None:
        """Remember where a run failed, until another shows whose fault."""
        run.task.step.failed_on.add(run.worker_id)

    def note_done(self, run: RunEntry, now_ms: int) -> dict[str, int]:
        """Learn from a run that was done.

        What fails on one worker and is done on another was the first
        one's fault; what fails everywhere is the job's own.

        :return: how long workers are avoided from now on, by id.
        """
        self.trust.note_done(run.worker_id)
        step = run.task.step
        pause_ms_by_worker = {
            worker_id: self.trust.note_failed(worker_id, now_ms)
            for worker_id in step.failed_on - {run.worker_id}
        }
        step.failed_on.clear()
        self._learn_duration(run, now_ms)
        return {name: ms for name, ms in pause_ms_by_worker.items() if ms}

    def _learn_duration(self, run: RunEntry, now_ms: int) -> None:
        if run.started_ms is not None and not run.resumed_percent:
            self.durations.learn(
                run.task.step.job.queue.name, now_ms - run.ordered_ms
            )

    def plan(
        self,
        book: Book,
        now_ms: int,
        wall_ms: int,
        asks_max: int = ROUND_MAX_STEPS,
    ) -> Plan:
        """Return the actions of one round.

        :param now_ms: time by the clock of the book's times.
        :param wall_ms: wall-clock time, ms since 1970.
        :param asks_max: calls to the advisor that can be made now.
        """
        book.release_due(now_ms, wall_ms)
        stops = tuple(map(_stop_of, book.runs_to_stop.values()))
        if not book.waiting_steps:
            return Plan(stops=stops)
        round_ = _Round(book, now_ms, asks_max)
        ranked = sorted(
            (rank_of(step, self.durations, now_ms), step.key)
            for step in book.waiting_steps.values()
        )
        for _, key in ranked[:ROUND_MAX_STEPS]:
            round_.place(book.waiting_steps[key])
        return Plan(tuple(round_.starts), stops, tuple(round_.asks))


class _Round:
    def __init__(self, book: Book, now_ms: int, asks_max: int) -> None:
        self.starts: list[PlannedStart] = []
        self.asks: list[PlannedAsk] = []
        self._now_ms = now_ms
        self._asks_max = asks_max
        self._room = Room(book.workers_by_id.values())
        self._gangs_ahead = 0

    def place(self, step: StepEntry) -> None:
        """Start the waiting tasks of a step as far as there is room."""
        is_gang = step.spec.is_gang
        if is_gang and step.waiting < step.spec.task_count:
            return
        slots = self._candidates(step)
        chosen = self._choose(step, slots) if slots else []
        if is_gang and len(chosen) < step.waiting:
            self._prepare(step, slots)
            return
        lacking = [slot for slot in chosen if not self._has_ticket(step, slot)]
        if lacking and is_gang:
            lacking = self._with_spares(step, chosen, slots)
        self._ask(step, lacking)
        if not chosen:
            self._ask_more(step)
        if lacking and is_gang:
            return
        self._start(step, [slot for slot in chosen if slot not in lacking])

    def _prepare(self, step: StepEntry, slots: list[Slot]) -> None:
        """Let a gang that does not fit yet start as soon as it does.

        Permits take long to get and soon expire. So the first gangs keep
        theirs fresh on every worker that may run them, and keep later
        steps away from the workers on which they will probably fit.
        """
        self._ask_more(step)
        if self._gangs_ahead >= PREPARED_MAX_GANGS:
            return
        if not self._may_fit_soon(step, slots):
            return
        self._gangs_ahead += 1
        if not self._has_fresh_tickets(step, slots):
            self._ask(step, sorted(slots, key=_emptiest))
        self._keep_clear(step, slots, step.waiting)

    def _may_fit_soon(self, step: StepEntry, slots: list[Slot]) -> bool:
        """Return whether keeping room for a gang can be of use.

        A gang that is too wide for its workers, or waits for room that
        services never give back, must not keep others from theirs.
        """
        ready_ms = step.ready_ms if step.ready_ms is not None else self._now_ms
        if self._now_ms - ready_ms > PREPARED_MAX_MS:
            return False
        room = sum(tasks_when_empty(slot, step) for slot in slots)
        return room >= step.waiting

    def _keep_clear(
        self, step: StepEntry, slots: list[Slot], count: int
    ) -> None:
        """Keep later steps of this round away from workers."""
        expected = 0
        for slot in sorted(slots, key=_emptiest):
            if expected >= count:
                break
            expected += _tasks_soon(slot, step)
            slot.free = NO_RESOURCES

    def _has_fresh_tickets(self, step: StepEntry, slots: list[Slot]) -> bool:
        """Return whether most permits outlast the next call for them."""
        renewal_ms = _cost_ms(step, min(len(slots), CALL_MAX_WORKERS))
        needed_ms = self._now_ms + TICKET_RESERVE_MS + renewal_ms
        fresh = sum(
            step.tickets_by_worker.get(slot.worker.worker_id, NO_TICKET)[1]
            >= needed_ms
            for slot in slots
        )
        return fresh * 2 >= len(slots)

    def _candidates(self, step: StepEntry) -> list[Slot]:
        if step.job.queue.advice is None:
            return list(self._room.eligible(step))
        if not step.asked:
            self._ask_more(step)
            return []
        return self._room.good(step)

    def _has_ticket(self, step: StepEntry, slot: Slot) -> bool:
        if step.job.queue.advice is None:
            return True
        _, valid_until_ms = step.tickets_by_worker.get(
            slot.worker.worker_id, NO_TICKET
        )
        return valid_until_ms >= self._now_ms + TICKET_RESERVE_MS

    def _ask_more(self, step: StepEntry) -> None:
        """Ask about workers that the advisor was not asked about yet."""
        if self._can_ask(step):
            unasked = (
                slot
                for slot in self._room.eligible(step)
                if slot.worker.worker_id not in step.asked
            )
            self._ask(step, _enough(step, unasked))

    def _with_spares(
        self, step: StepEntry, chosen: list[Slot], slots: list[Slot]
    ) -> list[Slot]:
        """Return the workers to ask about together for a whole gang.

        Tickets that were got one after the other would expire in turn.
        Spares make up for room that is gone when the answer comes.
        """
        spares = [
            slot
            for slot in slots
            if slot not in chosen and spare_tasks(slot, step)
        ]
        return [*chosen, *spares]

    def _can_ask(self, step: StepEntry) -> bool:
        return (
            not step.is_asking
            and step.job.queue.advice is not None
            and len(self.asks) < self._asks_max
        )

    def _ask(self, step: StepEntry, slots: list[Slot]) -> None:
        if not slots or not self._can_ask(step):
            return
        names = dict.fromkeys(slot.worker.worker_id for slot in slots)
        asked = tuple(names)[:CALL_MAX_WORKERS]
        cost_ms = _cost_ms(step, len(asked))
        self.asks.append(
            PlannedAsk(step.key, asked, step.job.queue.priority, cost_ms)
        )

    def _choose(self, step: StepEntry, slots: list[Slot]) -> list[Slot]:
        """Return the worker of each task.

        Workers with a valid ticket, or for which one is asked, come first,
        so that a gang does not lose its turn to the next call; then the
        fullest, which leaves room for large tasks on the others.
        """
        chosen: list[Slot] = []
        count = step.waiting
        cpu_millis = step.charge.cpu_millis
        fitting = [
            slot for slot in slots if slot.free.cpu_millis >= cpu_millis
        ]
        fitting.sort(
            key=lambda slot: (
                slot.worker.worker_id in step.failed_on,
                slot.worker.worker_id not in step.asking
                and not self._has_ticket(step, slot),
                slot.free.cpu_millis,
            )
        )
        for slot in fitting:
            spare = min(count - len(chosen), spare_tasks(slot, step))
            for _ in range(spare):
                slot.take(step.charge)
                chosen.append(slot)
            if len(chosen) == count:
                break
        if step.spec.is_gang and len(chosen) < count:
            for slot in chosen:
                slot.give_back(step.charge)
        return chosen

    def _start(self, step: StepEntry, slots: list[Slot]) -> None:
        if not slots:
            return
        run = max(task.runs for task in step.tasks) + 1
        for task, slot in zip(step.waiting_tasks(), slots, strict=False):
            worker_id = slot.worker.worker_id
            number = run if step.spec.is_gang else task.runs + 1
            ticket = step.tickets_by_worker.get(worker_id, NO_TICKET)[0]
            self.starts.append(
                PlannedStart(task.key, number, worker_id, ticket)
            )


def _enough(step: StepEntry, slots: Iterable[Slot]) -> list[Slot]:
    """Return workers among which a step will probably find room."""
    needed = EXPECTED_ROOM * step.waiting / EXPECTED_GOOD_SHARE
    found: list[Slot] = []
    room = 0
    for slot in slots:
        if len(found) >= CALL_MAX_WORKERS:
            break
        if room >= needed and len(found) >= ASK_MIN_WORKERS:
            break
        found.append(slot)
        room += spare_tasks(slot, step)
    return found


def _emptiest(slot: Slot) -> int:
    return -slot.free.cpu_millis


def _tasks_soon(slot: Slot, step: StepEntry) -> int:
    total = slot.info.capacity.cpu_millis
    free = slot.free.cpu_millis
    soon = free + SOON_SHARE * (total - free)
    return max(
        spare_tasks(slot, step), int(soon // max(1, step.charge.cpu_millis))
    )


def _cost_ms(step: StepEntry, workers: int) -> float:
    advice = step.job.queue.advice
    if advice is None:
        return 0.0
    return advice.decision_ms + advice.per_worker_ms * workers


def _stop_of(run: RunEntry) -> PlannedStop:
    outcome = run.task.step.job.outcome
    is_open = outcome is JobOutcome.OPEN
    reason = "superseded" if is_open else f"job-{outcome}"
    return PlannedStop(run.task.key, run.run, run.worker_id, reason)
