"""Errors of the decision bench."""

from __future__ import annotations


class BrokenPolicyError(Exception):
    """A decision that no policy may take."""
