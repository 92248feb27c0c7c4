"""Errors of the decision package."""

from __future__ import annotations


class UnknownNameError(ValueError):
    """A name that is not registered."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        allowed = ", ".join(sorted(known))
        super().__init__(f"no {kind} {name!r}; known: {allowed}")


class UnknownPolicyError(UnknownNameError):
    """A policy name that is not registered."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("scheduling policy", name, known)


class UnknownProfileError(UnknownNameError):
    """A name of weights that is not registered."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("profile of weights", name, known)
