from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control import loop_summary
from magnoliapitch.control.loop_summary import LoopSummary


if TYPE_CHECKING:
    import pytest


# No line told that planning rounds used up the leader's processor.
def test_summary_tells_what_the_control_loop_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        loop_summary, "log_event", lambda _, **fields: lines.append(fields)
    )
    summary = LoopSummary(0)
    summary.record_events(3, 20)
    summary.record_round(40, 10, 500)
    summary.record_events(2, 10)
    summary.record_round(60, 0, 1_000)
    summary.record_round(1, 2, 2_000)
    first, second = lines
    assert (first["events"], first["events_ms"]) == (5, 30)
    assert (first["planning_ms"], first["max_planning_ms"]) == (100, 60)
    assert first["pause_ms"] == 10
    assert (second["events"], second["planning_ms"]) == (0, 1)
