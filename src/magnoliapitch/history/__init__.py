"""Checkers of what was promised, over histories of events."""

from __future__ import annotations
