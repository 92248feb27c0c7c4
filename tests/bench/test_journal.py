from __future__ import annotations

from magnoliapitch.bench import journal


def test_measures_of_a_small_cell_are_plausible() -> None:
    assert journal.measure_fold(20, 10).records_per_s > 0
    snapshot = journal.measure_snapshot(20, 5)
    assert 0 < snapshot.snapshot_bytes < snapshot.state_bytes
    appends = journal.measure_appends(100, 10)
    assert appends.appends_per_s < 11
    assert appends.entries_per_append > 8
    heartbeats = journal.measure_heartbeats(2, 2)
    assert heartbeats.messages_per_s > 1


def test_three_ways_to_know_of_a_change_differ_as_they_should() -> None:
    piggyback = journal.measure_piggyback(2, 2)
    poll = journal.measure_poll(2, 2)
    in_band = journal.measure_in_band(4, 200)
    assert piggyback.messages == piggyback.appends == 0
    assert poll.messages == 6
    assert in_band.appends == 4
    assert in_band.delay_ms < piggyback.delay_ms
