"""Errors of policy options."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownProfileError(UnknownNameError):
    """No profile of policy weights is registered under a name."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("policy weight profile", name, known)
