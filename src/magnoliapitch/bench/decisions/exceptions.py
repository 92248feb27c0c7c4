"""Errors of the scheduling policy benchmark."""

from __future__ import annotations


class InvalidDecisionError(Exception):
    """Raised when a scheduling decision violates an invariant."""
