"""Failures, with a verdict on whether the work may have been executed."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


__all__ = ["Failure", "FailureCode", "Verdict", "may_have_run", "not_run"]


class Verdict(StrEnum):
    """Whether the work of a request was executed.

    ``NOT_RUN`` means certainly not, so that a retry is safe;
    ``MAY_HAVE_RUN`` means unknown; ``RAN`` means certainly executed.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureCode(StrEnum):
    """Machine-readable reason for a failure; values must stay stable."""

    INVALID = "invalid"
    NOT_FOUND = "not-found"
    # No known API key was sent.
    UNAUTHENTICATED = "unauthenticated"
    # The API key is that of another workspace.
    FORBIDDEN = "forbidden"
    CONFLICT = "conflict"
    PRECONDITION_REQUIRED = "precondition-required"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    IMPOSSIBLE = "impossible"
    SHUTTING_DOWN = "shutting-down"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    BAD_RESPONSE = "bad-answer"
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    # A run with the same or a higher number was already stopped or ended.
    STALE = "stale"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"
    INTERNAL = "internal"
    # A higher fencing token or leadership epoch was seen.
    FENCED = "fenced"
    # The writer's sequence number does not follow its last one.
    SEQUENCE = "sequence"
    NO_ROOM = "no-room"
    # A worker rejected the ticket of a start order.
    TICKET = "ticket"
    # Another incarnation of the worker responds at its address.
    REPLACED = "replaced"
    # Another incarnation of the worker, under the same name, has answered.
    RESTARTED = "restarted"
    UNHEALTHY = "unhealthy"


class Failure(NamedTuple):
    """Failure of a request or call.

    :param verdict: whether the work was executed.
    :param code: machine-readable reason.
    :param detail: explanation for people.
    :param retry_after_ms: delay after which a retry may succeed, in
        milliseconds, if known.
    """

    verdict: Verdict
    code: FailureCode
    detail: str
    retry_after_ms: int | None = None


def not_run(
    code: FailureCode, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Create a failure of work that was certainly not executed."""
    return Failure(Verdict.NOT_RUN, code, detail, retry_after_ms)


def may_have_run(
    code: FailureCode, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Create a failure of work that may have been executed."""
    return Failure(Verdict.MAY_HAVE_RUN, code, detail, retry_after_ms)
