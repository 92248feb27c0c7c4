from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from magnoliapitch.journal import Journal
from magnoliapitch.journal import decode_record
from magnoliapitch.journal.appender import BATCH_MAX_BYTES
from magnoliapitch.journal.appender import BATCH_MAX_ENTRIES
from magnoliapitch.journal.appender import QUEUE_MAX_ENTRIES
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.journal.snapshot import load_snapshot
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from magnoliapitch.standin import StandinLog


def records_of(log: StandinLog) -> list[bytes]:
    return [item.data for item in log.read(0, 1_000).unwrap().records]


def test_appender_retries_a_batch_unchanged_after_a_lost_response(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    log.responses_to_lose = 1
    journal.enqueue(MemberPresence("a"))
    journal.append_step()
    journal.enqueue(MemberPresence("b"))
    journal.append_step()
    journal.append_step()
    first, second, third = records_of(log)
    assert first == second
    assert [decode_record(item).seq for item in (first, third)] == [1, 2]


def test_appender_withdraws_only_entries_that_were_never_sent(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    log.responses_to_lose = 1
    sent = journal.enqueue(MemberPresence("a"))
    journal.append_step()
    queued = journal.enqueue(MemberPresence("b"))
    assert sent.wait(0).unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    assert queued.wait(0).unwrap_err().verdict is Verdict.NOT_RUN
    for _ in range(3):
        journal.append_step()
    entries = [decode_record(item).entries for item in records_of(log)]
    assert entries == [(MemberPresence("a"),)] * 2


def test_appender_requeues_the_entries_of_a_batch_that_the_log_refused(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    pending = journal.enqueue(MemberPresence("a"))
    log.down = True
    journal.append_step()
    assert pending.wait(0).unwrap_err().verdict is Verdict.NOT_RUN
    log.down = False
    kept = journal.enqueue(MemberPresence("b"))
    journal.append_step()
    journal.follow_step()
    assert isinstance(kept.wait(0), Ok)
    assert len(records_of(log)) == 1


def test_appender_keeps_a_batch_that_may_have_been_appended(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    log.responses_to_lose = 1
    pending = journal.enqueue(MemberPresence("a"))
    journal.append_step()
    log.down = True
    journal.append_step()
    assert pending.wait(0).unwrap_err().verdict is Verdict.MAY_HAVE_RUN


def test_appender_fails_entries_that_the_log_calls_invalid(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    failure = not_run(FailureCode.INVALID, "too long")
    log.append = lambda data: Err(failure)  # type: ignore[method-assign]
    pending = journal.enqueue(MemberPresence("a"))
    journal.append_step()
    assert pending.outcome == Err(failure)
    assert journal.appender.queued() == 0


def test_appender_bounds_batches_by_entries_and_bytes(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    for number in range(BATCH_MAX_ENTRIES + 1):
        journal.enqueue(MemberPresence(str(number)))
    journal.append_step()
    half = "x" * (BATCH_MAX_BYTES // 2)
    for _ in range(3):
        journal.enqueue(JobCancel(half))
    for _ in range(4):
        journal.append_step()
    sizes = [len(decode_record(item).entries) for item in records_of(log)]
    assert sizes == [BATCH_MAX_ENTRIES, 2, 1, 1]


def test_appender_bounds_its_queue(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock)
    for _ in range(QUEUE_MAX_ENTRIES):
        journal.enqueue(MemberPresence("a"))
    failure = journal.enqueue(MemberPresence("a")).wait(0).unwrap_err()
    assert failure.code is FailureCode.OVERLOADED
    assert failure.verdict is Verdict.NOT_RUN


def test_appender_stays_within_its_rate_limit(
    log: StandinLog, clock: ManualClock
) -> None:
    journal = Journal(log, "a", clock, appends_per_s=20)
    end_ms = clock.now_ms() + 10_000
    while clock.now_ms() < end_ms:
        journal.enqueue(MemberPresence("a"))
        clock.advance(max(journal.append_step(), 1))
    assert 200 <= journal.appender.appends <= 211
    assert journal.appender.entries > journal.appender.appends


def test_appender_fails_entries_behind_a_snapshot_as_may_have_run(
    log: StandinLog, clock: ManualClock
) -> None:
    writer = Journal(log, "a", clock)
    other = Journal(log, "b", clock)
    confirmed = writer.enqueue(MemberPresence("a"))
    writer.append_step()
    log.responses_to_lose = 1
    unconfirmed = writer.enqueue(MemberPresence("b"))
    writer.append_step()
    other.follow_step()
    state = load_snapshot(other.snapshot())
    assert state is not None
    assert writer.install(state)
    for pending in (confirmed, unconfirmed):
        failure = pending.wait(0).unwrap_err()
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert failure.code is FailureCode.TRUNCATED
    later = writer.enqueue(MemberPresence("c"))
    writer.append_step()
    writer.follow_step()
    assert isinstance(later.wait(0), Ok)
