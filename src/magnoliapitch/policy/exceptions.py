"""Errors of policy options."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownProfileError(UnknownNameError):
    """A name of weights that is not registered."""

    def __init__(self, name: str, known: tuple[str, ...]) -> None:
        super().__init__("profile of weights", name, known)
