"""Registry of checkers, one for each invariant."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from magnoliapitch.history.event import Event
from magnoliapitch.history.event import Violation


Checker = Callable[[Sequence[Event]], Iterator[Violation]]

_checkers_by_invariant: dict[str, Checker] = {}


def invariant(name: str) -> Callable[[Checker], Checker]:
    """Register a function as the checker of an invariant.

    :param name: name of the invariant, used in its violations.
    """

    def register(checker: Checker) -> Checker:
        _checkers_by_invariant[name] = checker
        return checker

    return register


def check_history(events: Sequence[Event]) -> tuple[Violation, ...]:
    """Run all registered checkers and return the violations they find."""
    return tuple(
        violation
        for checker in _checkers_by_invariant.values()
        for violation in checker(events)
    )
