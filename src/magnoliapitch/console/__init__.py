"""The command line of the scheduler."""

from __future__ import annotations
