"""Clients for backend servers, which execute small requests."""

from __future__ import annotations

from magnoliapitch.backend.client import BackendClient
from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.backend.client import BackendResponse


__all__ = ["BackendResponse", "BackendClient", "BackendRequest"]
