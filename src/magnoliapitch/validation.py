"""Describes validation errors: key, found value and allowed values."""

from __future__ import annotations

import difflib

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from pydantic_core import ErrorDetails


__all__ = ["describe_error"]

UNKNOWN_KEY_TYPES = ("unexpected_keyword_argument", "extra_forbidden")
MISSING_KEY_TYPES = ("missing_argument", "missing")


def describe_error(error: ErrorDetails, known_keys: Sequence[str]) -> str:
    """Return a one-line description of an invalid, unknown or missing key.

    :param error: validation error as reported by pydantic.
    :param known_keys: keys that are allowed in the same table.
    """
    location = ".".join(map(str, error["loc"]))
    prefix = f"{location}: " if location else ""
    if error["type"] in UNKNOWN_KEY_TYPES:
        key = str(error["loc"][-1])
        return f"{prefix}unknown key{_suggest_key(key, known_keys)}"
    if error["type"] in MISSING_KEY_TYPES:
        return f"{prefix}missing; it has no default"
    return f"{prefix}found {error['input']!r}; {_describe_allowed(error)}"


def _suggest_key(key: str, known_keys: Sequence[str]) -> str:
    close_matches = difflib.get_close_matches(key, known_keys, 1)
    if close_matches:
        return f"; did you mean {close_matches[0]}?"
    return f"; known keys: {', '.join(known_keys)}"


def _describe_allowed(error: ErrorDetails) -> str:
    message = error["msg"].removeprefix("Value error, ")
    return message[:1].lower() + message[1:]
