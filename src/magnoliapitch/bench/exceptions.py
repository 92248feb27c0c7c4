"""Errors of the benchmarks."""

from __future__ import annotations


class BenchError(RuntimeError):
    """Raised when a benchmark can't be run."""
