"""Benchmarks of applying records, snapshots, appends and heartbeats.

Each function measures one operation and returns its figures, so that callers
can vary the sizes and derive the cost per item.
"""

from __future__ import annotations

from magnoliapitch.bench.journal.append import AppendFigures
from magnoliapitch.bench.journal.append import measure_appends
from magnoliapitch.bench.journal.apply import ApplyFigures
from magnoliapitch.bench.journal.apply import SnapshotFigures
from magnoliapitch.bench.journal.apply import measure_apply
from magnoliapitch.bench.journal.apply import measure_snapshot
from magnoliapitch.bench.journal.heartbeat import HeartbeatFigures
from magnoliapitch.bench.journal.heartbeat import measure_heartbeats
from magnoliapitch.bench.journal.progress import ProgressFigures
from magnoliapitch.bench.journal.progress import measure_heartbeat_reports
from magnoliapitch.bench.journal.progress import measure_log_reports
from magnoliapitch.bench.journal.progress import measure_polling


__all__ = [
    "AppendFigures",
    "ApplyFigures",
    "HeartbeatFigures",
    "ProgressFigures",
    "SnapshotFigures",
    "measure_appends",
    "measure_apply",
    "measure_heartbeats",
    "measure_log_reports",
    "measure_heartbeat_reports",
    "measure_polling",
    "measure_snapshot",
]
