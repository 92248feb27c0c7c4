"""Errors of the decision package."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownPolicyError(UnknownNameError):
    """A policy name that is not registered."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("scheduling policy", name, known)
