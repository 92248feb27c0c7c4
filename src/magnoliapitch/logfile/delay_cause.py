"""Causes of the time that passes between two events of a job."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.logfile.log_event import LogEvent


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.logfile.leaderless import LeaderlessPeriods


class DelayCause(StrEnum):
    """What a job waited for, the same word for the same cause."""

    STORE = "store"
    REFUSED = "refused"
    HAND_OVER = "hand-over"
    ADVISOR = "advisor"
    ROOM = "room"
    SILENT_WORKER = "silent-worker"
    FAILED_RUN = "failed-run"
    RUNNING = "running"


class Gap(NamedTuple):
    """Two events of a job that follow each other."""

    event: LogEvent
    following: LogEvent

    @property
    def duration_ms(self) -> int:
        """Return the time between the events."""
        return self.following.time_ms - self.event.time_ms


_Rule = tuple[DelayCause, "Callable[[Gap, LeaderlessPeriods], bool]"]
_RULES: list[_Rule] = []


def cause_of(gap: Gap, leaderless: LeaderlessPeriods) -> DelayCause:
    """Return the first cause whose rule matches."""
    for cause, matches in _RULES:
        if matches(gap, leaderless):
            return cause
    return DelayCause.ROOM


def _rule(
    cause: DelayCause,
) -> Callable[
    [Callable[[Gap, LeaderlessPeriods], bool]],
    Callable[[Gap, LeaderlessPeriods], bool],
]:
    def register(
        matches: Callable[[Gap, LeaderlessPeriods], bool],
    ) -> Callable[[Gap, LeaderlessPeriods], bool]:
        _RULES.append((cause, matches))
        return matches

    return register


@_rule(DelayCause.STORE)
def _is_store_failing(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    """Return whether the store made an instance refuse, or doubt."""
    del leaderless
    return _is_unaccepted(gap.event) and "store" in gap.event.fields["reason"]


@_rule(DelayCause.REFUSED)
def _is_refused(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    """Return whether the caller was refused for another reason."""
    del leaderless
    return _is_unaccepted(gap.event)


@_rule(DelayCause.SILENT_WORKER)
def _is_worker_silent(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    """Return whether a run was lost, or its order was not answered."""
    del leaderless
    names = {"run-absent", "run-lost", "start-failed", "copy-starting"}
    is_superseded = gap.following.fields.get("reason") == "superseded"
    return gap.following.name in names or is_superseded


@_rule(DelayCause.FAILED_RUN)
def _is_run_failed(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    del leaderless
    fields = gap.following.fields
    return (
        fields.get("kind") == "failed"
        or fields.get("reason") == "attempts-used"
    )


@_rule(DelayCause.RUNNING)
def _is_running(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    """Return whether only the end of runs was waited for."""
    del leaderless
    names = {"step-done", "run-ended", "stop-ordered", "job-closed"}
    return gap.following.name in names


@_rule(DelayCause.HAND_OVER)
def _is_leaderless(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    """Return whether no instance led for a part of the time."""
    return leaderless.overlap(gap.event.time_ms, gap.following.time_ms)


@_rule(DelayCause.ADVISOR)
def _is_advisor_failing(gap: Gap, leaderless: LeaderlessPeriods) -> bool:
    del leaderless
    return "advice-failed" in (gap.event.name, gap.following.name)


def _is_unaccepted(event: LogEvent) -> bool:
    return (
        event.name == "call-answered"
        and event.fields.get("call") == "submit"
        and event.fields.get("outcome") != "stored"
        and "reason" in event.fields
    )
