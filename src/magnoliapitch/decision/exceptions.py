"""Errors of the decision package."""

from __future__ import annotations


class UnknownPolicyError(ValueError):
    """A policy name that is not registered."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        allowed = ", ".join(sorted(known))
        super().__init__(f"no scheduling policy {name!r}; known: {allowed}")
