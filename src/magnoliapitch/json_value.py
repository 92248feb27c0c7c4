"""Named tuples as plain objects, for JSON with named fields."""

from __future__ import annotations

from typing import Any


__all__ = ["to_json_value"]


def to_json_value(value: Any) -> Any:
    """Turn named tuples into dictionaries and tuples into lists.

    Fields keep their names in JSON, so that a later version can add some.
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
