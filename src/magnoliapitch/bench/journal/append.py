"""Batch size and delay of group commit under a budget of appends."""

from __future__ import annotations

import statistics

from typing import NamedTuple

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.standin.log import StandinLog


SIMULATED_DURATION_MS = 20_000
LOG_APPEND_DELAY_MS = 5


class AppendFigures(NamedTuple):
    """Group commit at one rate of journal entries, in simulated time.

    :param appends_per_s: appends to the log.
    :param entries_per_append: mean batch size.
    :param delay_ms: mean time from queueing an entry to the end of its
        append.
    :param max_delay_ms: longest such time.
    """

    appends_per_s: float
    entries_per_append: float
    delay_ms: float
    max_delay_ms: int


def measure_appends(entries_per_s: int, budget_per_s: int) -> AppendFigures:
    """Queue entries at a constant rate and append them under a budget.

    :param entries_per_s: rate at which entries are queued.
    :param budget_per_s: appends per second that the instance may make.
    """
    clock = ManualClock()
    journal = Journal(StandinLog(), "a", clock, budget_per_s)
    queued_times_ms: list[int] = []
    delays_ms: list[int] = []
    next_append_ms = 0
    queued_count = 0
    while clock.now_ms() < SIMULATED_DURATION_MS:
        now_ms = clock.now_ms()
        while queued_count * 1000 < now_ms * entries_per_s:
            journal.enqueue(MemberPresence("a"))
            queued_times_ms.append(now_ms)
            queued_count += 1
        if now_ms >= next_append_ms and queued_times_ms:
            appended_before = journal.appender.entries
            next_append_ms = now_ms + max(
                journal.append_step(), LOG_APPEND_DELAY_MS
            )
            appended_count = journal.appender.entries - appended_before
            append_ended_ms = now_ms + LOG_APPEND_DELAY_MS
            delays_ms += [
                append_ended_ms - queued_ms
                for queued_ms in queued_times_ms[:appended_count]
            ]
            del queued_times_ms[:appended_count]
        clock.advance(1)
    appends = journal.appender.appends
    return AppendFigures(
        appends * 1000 / SIMULATED_DURATION_MS,
        journal.appender.entries / appends,
        statistics.fmean(delays_ms),
        max(delays_ms),
    )
