"""Request IDs: validation of those that callers send, and generation."""

from __future__ import annotations

import re
import uuid


REQUEST_ID_HEADER = "X-Request-Id"

_VALID_REQUEST_ID = re.compile(r"[A-Za-z0-9._~:/+=@-]{1,128}", re.ASCII)


def is_valid_request_id(value: str) -> bool:
    """Return whether a request ID from a caller is safe to echo and log."""
    return _VALID_REQUEST_ID.fullmatch(value) is not None


def new_request_id() -> str:
    """Generate an ID for a request that has none."""
    return uuid.uuid4().hex
