from __future__ import annotations

from magnoliapitch.bench import journal


def test_figures_of_small_runs_are_plausible() -> None:
    assert journal.measure_apply(20, 10).records_per_s > 0
    snapshot = journal.measure_snapshot(20, 5)
    assert 0 < snapshot.snapshot_bytes < snapshot.state_bytes
    appends = journal.measure_appends(100, 10)
    assert appends.appends_per_s < 11
    assert appends.entries_per_append > 8
    heartbeats = journal.measure_heartbeats(2, 2)
    assert heartbeats.messages_per_s > 1


def test_ways_to_learn_of_an_applied_change_differ_in_cost_and_delay() -> None:
    in_heartbeats = journal.measure_heartbeat_reports(2, 2)
    polling = journal.measure_polling(2, 2)
    in_log = journal.measure_log_reports(4, 200)
    assert in_heartbeats.messages == in_heartbeats.appends == 0
    assert polling.messages == 6
    assert in_log.appends == 4
    assert in_log.delay_ms < in_heartbeats.delay_ms
