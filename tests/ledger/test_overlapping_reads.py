"""Reads of one stream by several threads of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.elapsed_clock import ClockStamp
from magnoliapitch.ledger.elapsed_clock import LeaseEnd
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import LEASE_PREFIX
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import encode_clock
from magnoliapitch.ledger.records import encode_lease_end
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


# A read that is answered late must not bring a deleted record back: the next
# leader takes leases as expired by it.
def test_a_late_read_does_not_bring_back_a_deleted_record(
    streams: MemoryStreams,
) -> None:
    streams.append("s", [KeyedRecord("other", b"1")])
    mirror = StreamMirror(streams, "s")
    mirror.refresh()
    streams.append("s", [KeyedRecord("lease", b"end")])
    late = streams.read("s", mirror.end)
    streams.append("s", [KeyedRecord("lease", b"")])
    real_read = streams.read

    def read_late(*_: object) -> object:
        # The other thread's read overtakes this one.
        streams.read = real_read  # type: ignore[method-assign]
        mirror.refresh()
        return late

    streams.read = read_late  # type: ignore[assignment, method-assign]
    mirror.refresh()
    assert "lease" not in mirror.values_by_key


class _InterruptedClock(ManualClock):
    """Runs another thread's work after the n-th time that it is read."""

    reads_left = -1

    def interrupt(self) -> None:
        raise NotImplementedError

    def now_ms(self) -> int:
        now_ms = super().now_ms()
        self.reads_left -= 1
        if self.reads_left == 0:
            self.interrupt()
        return now_ms


# Thread A has read, and takes the time; before it applies the records, B reads
# a newer stamp. A then pairs the newer stamp with its older time.
def test_the_shared_clock_never_runs_ahead_with_two_reading_threads(
    streams: MemoryStreams, make_leadership: MakeLeadership
) -> None:
    clock = _InterruptedClock(1_000)
    leadership = make_leadership("a")
    leadership._clock = leadership._reader._clock = clock
    leadership.follow()
    table = leadership._state_table

    def store() -> None:
        """Store the true time; nothing is ahead that does not exceed it."""
        stamp = encode_clock(ClockStamp(1, 1, ManualClock.now_ms(clock)))
        streams.append(STATE_STREAM, [KeyedRecord(CLOCK_KEY, stamp)])

    def interrupt() -> None:
        if leadership._reader._apply_lock.locked():
            # Another thread would wait here.
            return
        clock.advance(300)
        store()
        leadership.follow()

    clock.interrupt = interrupt  # type: ignore[method-assign]
    ahead_ms = []
    for reads in range(1, 7):
        clock.advance(100)
        store()
        clock.reads_left = reads
        leadership.follow()
        clock.reads_left = -1
        shared = table.clock.continue_as(2, 1, ManualClock.now_ms(clock))
        ahead_ms.append(shared.offset_ms)
    assert max(ahead_ms) <= 0, ahead_ms


# One thread has read page 1 and waits for page 2; the claimant has read page 2
# itself and claims at the true end, without what page 1 changed.
def test_a_claim_rests_on_all_records_that_any_thread_has_read(
    streams: MemoryStreams, make_leadership: MakeLeadership
) -> None:
    leadership = make_leadership("a")
    key = LEASE_PREFIX + "w"
    end = encode_lease_end(LeaseEnd(1, 5))
    streams.append(STATE_STREAM, [KeyedRecord(key, end)])
    leadership.follow()
    table = leadership._state_table
    assert "w" in table.lease_end_by_worker
    streams.append(STATE_STREAM, [KeyedRecord(key, b"")])
    streams.append(STATE_STREAM, [KeyedRecord("s.j", b"pq")])
    streams.max_read_records = 1
    real_read = streams.read
    seen: list[bool] = []

    def read(*args: object, **kwargs: object) -> object:
        found = real_read(*args, **kwargs)  # type: ignore[arg-type]
        if streams.reads == first_reads + 2:
            # Thread B reads and would claim here.
            leadership.follow()
            at_end = leadership._reader._mirror.end == 3
            seen.append(at_end and "w" in table.lease_end_by_worker)
        return found

    first_reads = streams.reads
    streams.read = read  # type: ignore[assignment, method-assign]
    leadership.follow()
    assert seen == [False]
