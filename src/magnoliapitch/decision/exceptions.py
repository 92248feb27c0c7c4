"""Errors of the scheduling policies."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownPolicyError(UnknownNameError):
    """No scheduling policy is registered under a name."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("scheduling policy", name, known)
