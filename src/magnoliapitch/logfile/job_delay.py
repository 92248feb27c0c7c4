"""Jobs that took long, and what they waited for most."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.logfile.delay_cause import DelayCause
from magnoliapitch.logfile.delay_cause import Gap
from magnoliapitch.logfile.delay_cause import cause_of
from magnoliapitch.logfile.leaderless import LeaderlessPeriods


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.logfile.log_event import LogEvent


class JobDelay(NamedTuple):
    """A job that took long.

    :param submitted_ms: time of the first answer to its submission, ms since
        1970.
    :param instance: instance that gave this answer.
    :param start_after_ms: time from then to the first start; None if there
        was none.
    :param end_after_ms: time from then to its completion; None if it is not
        complete.
    :param cause: what most of the time passed with.
    :param cause_ms: how much time that was.
    """

    job_id: str
    queue: str
    submitted_ms: int
    instance: str
    start_after_ms: int | None
    end_after_ms: int | None
    cause: DelayCause
    cause_ms: int


def find_delays(
    events: Sequence[LogEvent], slower_than_ms: int
) -> list[JobDelay]:
    """Return the jobs that took longer, or are not complete.

    :param events: events of all instances in time order.
    """
    leaderless = LeaderlessPeriods(events)
    delays = (
        _delay(job_id, job_events, leaderless)
        for job_id, job_events in _events_by_job(events).items()
    )
    return [
        delay
        for delay in delays
        if delay is not None
        and (delay.end_after_ms is None or delay.end_after_ms > slower_than_ms)
    ]


def _events_by_job(
    events: Iterable[LogEvent],
) -> dict[str, list[LogEvent]]:
    events_by_job: defaultdict[str, list[LogEvent]] = defaultdict(list)
    for event in events:
        if "job" in event.fields:
            events_by_job[event.fields["job"]].append(event)
    return events_by_job


def _delay(
    job_id: str, events: list[LogEvent], leaderless: LeaderlessPeriods
) -> JobDelay | None:
    submissions = [
        event
        for event in events
        if event.name == "call-answered"
        and event.fields.get("call") == "submit"
    ]
    if not submissions:
        # The log begins after it.
        return None
    first = submissions[0]
    ends = [
        event.time_ms
        for event in events
        if event.name == "step-done"
        and event.fields.get("outcome") == "completed"
    ]
    starts = [
        event.time_ms for event in events if event.name == "step-starting"
    ]
    last_ms = ends[0] if ends else events[-1].time_ms
    considered = [
        event for event in events if first.time_ms <= event.time_ms <= last_ms
    ]
    cause, cause_ms = _main_cause(considered, leaderless)
    return JobDelay(
        job_id,
        first.fields.get("queue", ""),
        first.time_ms,
        first.instance,
        starts[0] - first.time_ms if starts else None,
        ends[0] - first.time_ms if ends else None,
        cause,
        cause_ms,
    )


def _main_cause(
    events: list[LogEvent], leaderless: LeaderlessPeriods
) -> tuple[DelayCause, int]:
    duration_by_cause: Counter[DelayCause] = Counter()
    for event, following in pairwise(events):
        gap = Gap(event, following)
        duration_by_cause[cause_of(gap, leaderless)] += gap.duration_ms
    if not duration_by_cause:
        return cause_of(Gap(events[0], events[0]), leaderless), 0
    return duration_by_cause.most_common(1)[0]
