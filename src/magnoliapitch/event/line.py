"""Formats an event as one line that its values cannot break."""

from __future__ import annotations

import json
import re

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


_PLAIN = re.compile(r"[A-Za-z0-9._:/@+-]+", re.ASCII)
_DELETE = "\x7f"


def format_line(fields: Mapping[str, object]) -> str:
    """Return ``key=value`` pairs joined by spaces, without a line end."""
    return " ".join(
        f"{key}={format_value(value)}" for key, value in fields.items()
    )


def format_value(value: object) -> str:
    """Return a value as it is if it is plain, else as a JSON string.

    The result holds printable ASCII only, so that no value can end the
    line, start another pair or move the cursor of a terminal.
    """
    text = _text_of(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text).replace(_DELETE, "\\u007f")


def _text_of(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, bytes):
        return value.decode("utf-8", "backslashreplace")
    return str(value)
