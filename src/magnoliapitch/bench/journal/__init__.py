"""Measures of the fold, snapshots, appends and heartbeats.

Each function measures one thing and returns its figures, so that other
benchmarks can vary the sizes and derive slopes.
"""

from __future__ import annotations

from magnoliapitch.bench.journal.append import AppendFigures
from magnoliapitch.bench.journal.append import measure_appends
from magnoliapitch.bench.journal.apply import FoldFigures
from magnoliapitch.bench.journal.apply import SnapshotFigures
from magnoliapitch.bench.journal.apply import measure_fold
from magnoliapitch.bench.journal.apply import measure_snapshot
from magnoliapitch.bench.journal.heartbeat import HeartbeatFigures
from magnoliapitch.bench.journal.heartbeat import measure_heartbeats
from magnoliapitch.bench.journal.progress import ProgressFigures
from magnoliapitch.bench.journal.progress import measure_in_band
from magnoliapitch.bench.journal.progress import measure_piggyback
from magnoliapitch.bench.journal.progress import measure_poll


__all__ = [
    "AppendFigures",
    "FoldFigures",
    "HeartbeatFigures",
    "ProgressFigures",
    "SnapshotFigures",
    "measure_appends",
    "measure_fold",
    "measure_heartbeats",
    "measure_in_band",
    "measure_piggyback",
    "measure_poll",
    "measure_snapshot",
]
