"""Formats an event as a single log line, whatever values it contains."""

from __future__ import annotations

import json
import re

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9._:/@+-]+", re.ASCII)
_DELETE_CHARACTER = "\x7f"


def format_line(fields: Mapping[str, object]) -> str:
    """Return ``key=value`` pairs joined by spaces, without a newline."""
    return " ".join(
        f"{key}={format_value(value)}" for key, value in fields.items()
    )


def format_value(value: object) -> str:
    """Return a value unquoted if that is unambiguous, else as a JSON string.

    The result has printable ASCII characters only, so that no value can end
    the line, start another pair or send control codes to a terminal.
    """
    text = _to_text(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text).replace(_DELETE_CHARACTER, "\\u007f")


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, bytes):
        return value.decode("utf-8", "backslashreplace")
    return str(value)
