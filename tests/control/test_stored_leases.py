from __future__ import annotations

import random

import pytest

from magnoliapitch.control.reachability import WorkerReachability
from magnoliapitch.control.stored_leases import StoredLeases
from magnoliapitch.control.timing import ControlTiming
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.ledger.load_view import ReadTimes
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import encode_clock
from magnoliapitch.ledger.state_table import StateTable


TIMING = ControlTiming(longest_lease_ms=6_000, leaving_lease_ms=1_000)
WORKER = "w"
WORKER_CLOCK_RATE = 0.981
INSTANCE_COUNT = 4
HEARTBEAT_MS = 300
MAX_STORE_DELAY_MS = 700


class Chain:
    """Leaders that follow each other, one worker, and one store.

    Times are true ones unless they are called local. A leader goes on granting
    leases until its permission has run out, also after the next claim, unless
    the worker has been called by a later one.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self._lease_end_by_grant_ms: dict[int, float] = {0: 0.0}
        self.epoch = 0
        self._offsets_ms = [
            self.random.randrange(10**6) for _ in range(INSTANCE_COUNT)
        ]
        self._tables = [StateTable() for _ in range(INSTANCE_COUNT)]

    def lead(self, instance: int) -> None:
        """Let an instance lead for some time; the worker may be silent."""
        claimed_ms = self._local(instance, self.now_ms)
        table = self._tables[instance]
        self.epoch += 1
        clock = table.clock.continue_as(self.epoch, self.epoch - 1, claimed_ms)
        stored = StoredLeases(clock, table)
        reachability = WorkerReachability(TIMING, claimed_ms, clock, stored)
        self._check(reachability, instance)
        answers = self.random.random() < 0.5
        stamp_ms = sent_ms = self.now_ms
        for _ in range(self.random.randrange(1, 20)):
            stamp_ms = self.now_ms
            if answers:
                self._answer(reachability, instance)
                answers = self.random.random() < 0.9
            else:
                reachability.record_unanswered_renewal(WORKER)
                reachability.store_lease_end(WORKER)
                answers = self.random.random() < 0.1
            records = [(r.key, r.value) for r in stored.take_records()]
            stamp = encode_clock(clock.stamp(self._local(instance, stamp_ms)))
            sent_ms = stamp_ms + self.random.randrange(100)
            self.now_ms = sent_ms + self.random.randrange(MAX_STORE_DELAY_MS)
            self._read([*records, (CLOCK_KEY, stamp)])
            stored.record_stored()
            self._grant(reachability, instance, sent_ms, self.now_ms)
            self.now_ms += self.random.randrange(HEARTBEAT_MS)
        last_ms = sent_ms + TIMING.max_leader_silence_ms
        self._grant(reachability, instance, sent_ms, last_ms)

    def _local(self, instance: int, true_ms: float) -> int:
        return int(true_ms) + self._offsets_ms[instance]

    def _read(self, records: list[tuple[str, bytes]]) -> None:
        """Let all instances read records that are stored now."""
        values = {key: value for key, value in records if value}
        for instance, table in enumerate(self._tables):
            read_ms = self._local(
                instance, self.now_ms + self.random.randrange(400)
            )
            read = ReadTimes(read_ms, None, read_ms)
            table.apply(values, [key for key, _ in records], read)

    def _answer(self, reachability: WorkerReachability, instance: int) -> None:
        ends = self._lease_end_by_grant_ms
        for grant_ms in [late for late in ends if late > self.now_ms]:
            del ends[grant_ms]
        local_ms = self._local(instance, self.now_ms)
        clock_ms = int(self.now_ms * WORKER_CLOCK_RATE)
        reachability.record_answer(WORKER, clock_ms, local_ms, local_ms)

    def _grant(
        self,
        reachability: WorkerReachability,
        instance: int,
        sent_ms: int,
        grant_ms: int,
    ) -> None:
        """Grant a lease as a controller does.

        :param sent_ms: when its newest stored record was sent.
        """
        local_ms = self._local(instance, sent_ms)
        deadline_ms = reachability.next_lease_deadline(
            WORKER, local_ms, is_leaving=self.random.random() < 0.5
        )
        if deadline_ms is not None:
            end_ms = deadline_ms / WORKER_CLOCK_RATE
            self._lease_end_by_grant_ms[grant_ms] = end_ms

    def _check(self, reachability: WorkerReachability, instance: int) -> None:
        last_end_ms = max(self._lease_end_by_grant_ms.values())
        expired_at_ms = reachability.leases_expired_at_ms(WORKER)
        assert expired_at_ms >= self._local(instance, last_end_ms)


# Two runs of a task at a time would follow from a lease that goes on after a
# later leader has taken it as expired.
@pytest.mark.parametrize("seed", range(100))
def test_no_lease_outlives_the_end_that_a_later_leader_takes_it_to_have(
    seed: int,
) -> None:
    chain = Chain(seed)
    for _ in range(30):
        chain.lead(chain.random.randrange(INSTANCE_COUNT))
        chain.now_ms += chain.random.randrange(400, 3_000)


# The wait began anew with each leader.
def test_the_end_of_a_silent_worker_s_leases_stays_over_many_leaders() -> None:
    chain = Chain(0)
    table = StateTable()
    ends = []
    for epoch in range(1, 8):
        clock = table.clock.continue_as(epoch, epoch - 1, chain.now_ms)
        stored = StoredLeases(clock, table)
        reachability = WorkerReachability(TIMING, chain.now_ms, clock, stored)
        reachability.store_lease_end(WORKER)
        ends.append(reachability.leases_expired_at_ms(WORKER))
        read = ReadTimes(chain.now_ms, None, chain.now_ms)
        stamp = encode_clock(clock.stamp(chain.now_ms))
        records = {r.key: r.value for r in stored.take_records()}
        table.apply({CLOCK_KEY: stamp, **records}, [CLOCK_KEY, *records], read)
        chain.now_ms += 2_500
    assert set(ends) == {ends[0]}


# Ends by another series of the clock say nothing.
def test_an_end_of_another_series_is_not_used_and_is_deleted() -> None:
    table = StateTable()
    first = ElapsedClock().continue_as(1, 0, 500)
    leases = StoredLeases(first, table)
    leases.put(WORKER, 700)
    [record] = leases.take_records()
    table.apply({record.key: record.value}, [record.key])
    second = StoredLeases(ElapsedClock().continue_as(2, 1, 0), table)
    assert second.inherited_end_ms(WORKER) is None
    assert not second.may_grant(WORKER)
    [deletion] = second.take_records()
    assert deletion == (record.key, b"")
    second.record_stored()
    assert second.may_grant(WORKER)
