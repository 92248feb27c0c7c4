"""Errors of the benchmarks."""

from __future__ import annotations


class BenchError(RuntimeError):
    """A benchmark that could not be run."""
