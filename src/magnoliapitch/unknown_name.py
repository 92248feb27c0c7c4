"""Error for names that are not registered."""

from __future__ import annotations


class UnknownNameError(ValueError):
    """Raised for a name that is not registered.

    :param kind: what the name stands for, such as a policy.
    :param name: name that was looked up.
    :param known: names that are registered.
    """

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        known_names = ", ".join(sorted(known)) or "none"
        super().__init__(f"unknown {kind} {name!r}; known: {known_names}")
