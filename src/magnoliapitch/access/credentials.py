"""API keys in the ``Authorization`` header (RFC 6750)."""

from __future__ import annotations

from enum import StrEnum


SCHEME = "bearer"


class Credential(StrEnum):
    """What the ``Authorization`` header of a rejected call holds."""

    MISSING = "missing"
    OTHER_SCHEME = "other-scheme"
    UNKNOWN_KEY = "unknown-key"


def bearer_key(authorization: str) -> bytes:
    """Return the API key of a header, empty if it holds none.

    :param authorization: value of the header; each character is one byte, as
        WSGI decodes headers.
    """
    scheme, _, key = authorization.strip().partition(" ")
    if scheme.lower() != SCHEME:
        return b""
    try:
        return key.strip().encode("latin-1")
    except UnicodeEncodeError:
        return b""


def rejected_credential(authorization: str) -> Credential:
    """Classify the header of a call whose key is not known."""
    if not authorization.strip():
        return Credential.MISSING
    if not bearer_key(authorization):
        return Credential.OTHER_SCHEME
    return Credential.UNKNOWN_KEY
