"""The error of names that no registry holds."""

from __future__ import annotations


class UnknownNameError(ValueError):
    """A name that is not registered."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        allowed = ", ".join(sorted(known)) or "none"
        super().__init__(f"no {kind} {name!r}; known: {allowed}")
