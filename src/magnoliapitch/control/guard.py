"""Calls whose unexpected errors must not end the thread that makes them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.verdict import Failure


ValueT = TypeVar("ValueT")


def guarded(
    name: str, call: Callable[[], Result[ValueT, Failure]]
) -> Result[ValueT, Failure]:
    """Return the outcome of a call; an unexpected error is a failure.

    A thread that ended would leave a worker's lease to expire, or an agent
    without commands, until the next leader.

    :param name: what is called, for the log.
    """
    try:
        return call()
    except Exception as error:
        log_event("call-error", call=name, error=error)
        return Err(may_have_run(FailureCode.INTERNAL, repr(error)))


__all__ = ["guarded"]
