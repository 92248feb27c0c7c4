"""Exceptions raised when an adapter is chosen."""

from __future__ import annotations

from magnoliapitch.unknown_name import UnknownNameError


class UnknownAdapterError(UnknownNameError):
    """Raised when no adapter is registered for the scheme of a URL.

    :param scheme: scheme of the URL.
    :param known: schemes that have an adapter.
    """

    def __init__(self, scheme: str, known: tuple[str, ...]) -> None:
        super().__init__("adapter for scheme", scheme, known)
