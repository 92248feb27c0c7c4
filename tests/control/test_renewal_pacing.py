from __future__ import annotations

from magnoliapitch.control.renewal_pacing import LinkPace


def settled() -> LinkPace:
    pace = LinkPace()
    pace.note_answered(gave_lease=False)
    pace.note_answered(gave_lease=True)
    return pace


def test_the_first_look_does_not_wait_and_a_lease_follows_soon() -> None:
    pace = LinkPace()
    assert pace.next_look(0).wait_ms == 0
    assert pace.note_answered(gave_lease=False) <= 20
    assert pace.next_look(0).wait_ms > 0


def test_an_end_is_known_within_600_ms_on_a_link_that_loses_answers() -> None:
    pace = settled()
    pause_ms = pace.note_lost(1_000)
    assert pause_ms <= 20
    assert pace.next_look(1_020).wait_ms == 0
    pace.note_answered(gave_lease=False)
    look = pace.next_look(1_050)
    assert look.wait_ms + look.timeout_ms + pause_ms <= 600


def test_a_link_that_lost_nothing_for_long_is_looked_at_rarely() -> None:
    pace = settled()
    calm = pace.next_look(0)
    pace.note_lost(0)
    pace.note_answered(gave_lease=True)
    assert pace.next_look(5_000).wait_ms < calm.wait_ms
    assert pace.next_look(60_000) == calm


def test_a_worker_that_is_away_is_not_pressed() -> None:
    pace = settled()
    pauses_ms = [pace.note_lost(number * 500) for number in range(5)]
    assert min(pauses_ms[1:]) >= 300


def test_a_worker_without_lease_is_not_pressed() -> None:
    pace = settled()
    pauses_ms = [pace.note_answered(gave_lease=False) for _ in range(5)]
    assert min(pauses_ms[1:]) >= 300
