"""The ``bench journal`` command."""

from __future__ import annotations

from magnoliapitch.bench import journal
from magnoliapitch.console.bench import bench
from magnoliapitch.event import EventLevel
from magnoliapitch.event import configure_logging


ZONES_AND_INSTANCES_PER_ZONE = ((3, 2), (6, 4), (22, 7))
JOB_COUNTS = (1_000, 10_000, 30_000)
APPEND_RATES = ((10, 30), (100, 30), (1_000, 30), (100, 2), (1_000, 2))
LOG_APPENDS_PER_S = 200


@bench.command(name="journal")
def bench_journal() -> None:
    """Measure the journal: log records, snapshots, appends and progress.

    The rows named apply give the speed at which log records are applied to
    the state. Progress reports tell instances how far the others have
    applied the log; they travel on heartbeats, as answers to polls or in the
    log itself.
    """
    configure_logging("bench", "local", EventLevel.ERROR)
    for entries_per_record in (1, 100):
        print(
            f"apply entries_per_record={entries_per_record}",
            journal.measure_apply(10_000, entries_per_record),
        )
    for jobs in JOB_COUNTS:
        print(f"snapshot jobs={jobs}", journal.measure_snapshot(jobs, 1_000))
    for entries_per_s, appends_per_s in APPEND_RATES:
        print(
            f"append entries_per_s={entries_per_s} "
            f"budget_per_s={appends_per_s}",
            journal.measure_appends(entries_per_s, appends_per_s),
        )
    for zones, per_zone in ZONES_AND_INSTANCES_PER_ZONE:
        layout = f"zones={zones} per_zone={per_zone}"
        print(
            f"heartbeat {layout}", journal.measure_heartbeats(zones, per_zone)
        )
        print(
            f"heartbeat reports {layout}",
            journal.measure_heartbeat_reports(zones, per_zone),
        )
        print(f"polling {layout}", journal.measure_polling(zones, per_zone))
        instance_count = zones * per_zone
        figures = journal.measure_log_reports(
            instance_count, LOG_APPENDS_PER_S
        )
        print(f"log reports {layout}", figures)
