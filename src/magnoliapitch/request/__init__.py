"""Small requests: admission, routing and answers."""

from __future__ import annotations

from magnoliapitch.request.router import Router


__all__ = ["Router"]
