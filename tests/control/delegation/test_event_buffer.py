from __future__ import annotations

from magnoliapitch.control.delegation.event_buffer import MAX_BATCH_EVENTS
from magnoliapitch.control.delegation.event_buffer import EventBuffer
from magnoliapitch.control.delegation.messages import AgentEvent
from magnoliapitch.control.delegation.messages import AgentEventKind


def unchanged(sent_ms: int, worker_id: str = "w") -> AgentEvent:
    return AgentEvent(AgentEventKind.RENEWAL, worker_id, sent_ms, sent_ms)


def changed(sent_ms: int) -> AgentEvent:
    return unchanged(sent_ms)._replace(running=())


def test_events_are_kept_until_they_are_received() -> None:
    buffer = EventBuffer()
    for sent_ms in range(3):
        buffer.append(changed(sent_ms))
    assert buffer.read() == buffer.read()
    buffer.drop(2)
    assert buffer.read() == (3, (changed(2),))
    buffer.drop(1)
    assert buffer.read().first == 3
    buffer.drop(3)
    assert not buffer


def test_a_slow_reader_gets_only_the_newest_unchanged_report() -> None:
    buffer = EventBuffer()
    for sent_ms in range(50):
        buffer.append(unchanged(sent_ms))
        buffer.append(unchanged(sent_ms, "other"))
    assert buffer.read().events == (unchanged(49), unchanged(49, "other"))


def test_an_event_that_was_read_is_not_replaced() -> None:
    buffer = EventBuffer()
    buffer.append(unchanged(1))
    buffer.read()
    buffer.append(unchanged(2))
    assert buffer.read().events == (unchanged(1), unchanged(2))


def test_an_unchanged_report_stays_behind_a_change() -> None:
    buffer = EventBuffer()
    for event in (unchanged(1), changed(2), unchanged(3)):
        buffer.append(event)
    assert buffer.read().events == (unchanged(1), changed(2), unchanged(3))


def test_a_batch_is_limited() -> None:
    buffer = EventBuffer()
    for sent_ms in range(MAX_BATCH_EVENTS + 5):
        buffer.append(changed(sent_ms))
    buffer.drop(MAX_BATCH_EVENTS)
    assert len(buffer.read().events) == 5
