"""Verdicts: whether a request that failed may have run."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


__all__ = ["Failure", "FailureCode", "Verdict", "may_have_run", "not_run"]


class Verdict(StrEnum):
    """Whether the work behind a request was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureCode(StrEnum):
    """Stable machine-readable reasons for a failure."""

    INVALID = "invalid"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    PRECONDITION_REQUIRED = "precondition-required"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    IMPOSSIBLE = "impossible"
    SHUTTING_DOWN = "shutting-down"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad-answer"
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    STALE = "stale"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"
    INTERNAL = "internal"
    FENCED = "fenced"
    SEQUENCE = "sequence"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    REPLACED = "replaced"
    UNHEALTHY = "unhealthy"


class Failure(NamedTuple):
    """An outcome other than a result.

    :param verdict: whether the work was executed.
    :param code: stable machine-readable reason.
    :param detail: explanation for a person.
    :param retry_after_ms: when a retry may succeed, in milliseconds.
    """

    verdict: Verdict
    code: FailureCode
    detail: str
    retry_after_ms: int | None = None


def not_run(
    code: FailureCode, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Return a failure of work that was certainly not executed."""
    return Failure(Verdict.NOT_RUN, code, detail, retry_after_ms)


def may_have_run(
    code: FailureCode, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Return a failure of work that may have been executed."""
    return Failure(Verdict.MAY_HAVE_RUN, code, detail, retry_after_ms)
