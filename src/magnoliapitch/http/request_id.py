"""Ids that callers give to their requests."""

from __future__ import annotations

import re
import uuid


REQUEST_ID_HEADER = "X-Request-Id"

_VALID = re.compile(r"[A-Za-z0-9._~:/+=@-]{1,128}", re.ASCII)


def is_valid_request_id(value: str) -> bool:
    """Return whether a caller's id can be repeated as it is."""
    return _VALID.fullmatch(value) is not None


def new_request_id() -> str:
    """Return an id for a request that brought none."""
    return uuid.uuid4().hex
