"""Converts named tuples to values that are encoded as JSON objects."""

from __future__ import annotations

from typing import Any


__all__ = ["to_json_value"]


def to_json_value(value: Any) -> Any:
    """Convert named tuples to dictionaries and other tuples to lists.

    JSON then has the names of the fields, so that later versions can add
    fields.
    """
    if isinstance(value, tuple):
        fields = getattr(value, "_fields", None)
        if fields is None:
            return [to_json_value(item) for item in value]
        return {
            name: to_json_value(item)
            for name, item in zip(fields, value, strict=True)
        }
    return value
