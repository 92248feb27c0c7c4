"""Measures the cost of one more worker, task, record or peer."""

from __future__ import annotations

from magnoliapitch.bench.capacity import memory
from magnoliapitch.bench.capacity import message
from magnoliapitch.bench.capacity import processor
from magnoliapitch.bench.capacity import snapshot
from magnoliapitch.bench.capacity import wire
from magnoliapitch.bench.capacity.registry import measure_slopes


__all__ = [
    "measure_slopes",
    "memory",
    "message",
    "processor",
    "snapshot",
    "wire",
]
