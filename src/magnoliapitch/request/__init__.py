"""Admission and routing of small requests to backend servers."""

from __future__ import annotations

from magnoliapitch.request.router import Router


__all__ = ["Router"]
