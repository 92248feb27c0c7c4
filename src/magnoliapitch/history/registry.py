"""Registry of the checkers, one a promise."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from magnoliapitch.history.event import Event
from magnoliapitch.history.event import Violation


Checker = Callable[[Sequence[Event]], Iterator[Violation]]

_checkers_by_promise: dict[str, Checker] = {}


def promise(name: str) -> Callable[[Checker], Checker]:
    """Register the checker of a promise."""

    def register(checker: Checker) -> Checker:
        _checkers_by_promise[name] = checker
        return checker

    return register


def check_history(events: Sequence[Event]) -> tuple[Violation, ...]:
    """Return every violation of every promise."""
    return tuple(
        violation
        for checker in _checkers_by_promise.values()
        for violation in checker(events)
    )
