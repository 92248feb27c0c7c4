"""Batch size and delay of group commit under its budget."""

from __future__ import annotations

import statistics

from typing import NamedTuple

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal.record import EntryPresence
from magnoliapitch.standin.log import StandinLog


DURATION_MS = 20_000
LOG_DELAY_MS = 5


class AppendFigures(NamedTuple):
    """What group commit does at one rate, in simulated time.

    :param delay_ms: mean time from the queue to the end of the append.
    :param max_delay_ms: longest such time.
    """

    appends_per_s: float
    entries_per_append: float
    delay_ms: float
    max_delay_ms: int


def measure_appends(entries_per_s: int, budget_per_s: int) -> AppendFigures:
    """Queue entries at an even rate and append them under a budget.

    :param budget_per_s: share of one instance, in appends a second.
    """
    clock = ManualClock()
    journal = Journal(StandinLog(), "a", clock, budget_per_s)
    waiting: list[int] = []
    delays: list[int] = []
    due_ms = 0
    queued = 0
    while clock.now_ms() < DURATION_MS:
        now_ms = clock.now_ms()
        while queued * 1000 < now_ms * entries_per_s:
            journal.enqueue(EntryPresence("a"))
            waiting.append(now_ms)
            queued += 1
        if now_ms >= due_ms and waiting:
            before = journal.appender.entries
            due_ms = now_ms + max(journal.append_step(), LOG_DELAY_MS)
            count = journal.appender.entries - before
            ended_ms = now_ms + LOG_DELAY_MS
            delays += [ended_ms - queued_ms for queued_ms in waiting[:count]]
            del waiting[:count]
        clock.advance(1)
    appends = journal.appender.appends
    return AppendFigures(
        appends * 1000 / DURATION_MS,
        journal.appender.entries / appends,
        statistics.fmean(delays),
        max(delays),
    )
