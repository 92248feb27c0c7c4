"""Errors of choosing an adapter."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownAdapterError(UnknownNameError):
    """A URL whose scheme no registered adapter serves."""

    def __init__(self, scheme: str, known: tuple[str, ...]) -> None:
        super().__init__("adapter for scheme", scheme, known)
