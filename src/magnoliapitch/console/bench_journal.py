"""The ``bench journal`` command."""

from __future__ import annotations

from magnoliapitch.bench import journal
from magnoliapitch.console.bench import bench
from magnoliapitch.event import EventLevel
from magnoliapitch.event import configure_logging


CELLS = ((3, 2), (6, 4), (22, 7))
JOB_COUNTS = (1_000, 10_000, 30_000)
APPEND_RATES = ((10, 30), (100, 30), (1_000, 30), (100, 2), (1_000, 2))
LOG_APPENDS_PER_S = 200


@bench.command(name="journal")
def bench_journal() -> None:
    """Measure fold, snapshots, group commit, heartbeats and progress."""
    configure_logging("bench", "local", EventLevel.ERROR)
    for size in (1, 100):
        print(
            f"fold entries_per_record={size}",
            journal.measure_apply(10_000, size),
        )
    for jobs in JOB_COUNTS:
        print(f"snapshot jobs={jobs}", journal.measure_snapshot(jobs, 1_000))
    for rate, budget in APPEND_RATES:
        print(
            f"append entries_per_s={rate} budget_per_s={budget}",
            journal.measure_appends(rate, budget),
        )
    for zones, per_zone in CELLS:
        cell = f"zones={zones} per_zone={per_zone}"
        print(f"heartbeat {cell}", journal.measure_heartbeats(zones, per_zone))
        print(
            f"piggyback {cell}",
            journal.measure_heartbeat_reports(zones, per_zone),
        )
        print(f"poll {cell}", journal.measure_polling(zones, per_zone))
        count = zones * per_zone
        figures = journal.measure_log_reports(count, LOG_APPENDS_PER_S)
        print(f"in-band {cell}", figures)
