"""Errors of choosing an adapter."""

from __future__ import annotations


class UnknownAdapterError(ValueError):
    """A URL whose scheme no registered adapter serves."""

    def __init__(self, scheme: str, known: tuple[str, ...]) -> None:
        allowed = ", ".join(sorted(known)) or "none"
        super().__init__(f"no adapter for scheme {scheme!r}; known: {allowed}")
