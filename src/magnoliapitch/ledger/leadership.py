"""Election of the leader through claims in an ordered stream."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.claim import PRODUCER
from magnoliapitch.ledger.claim import Claim
from magnoliapitch.ledger.claim import claim_records
from magnoliapitch.ledger.claim import next_epoch
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.claim_delay import ClaimDelay
from magnoliapitch.ledger.leader_appender import APPEND_TIMEOUT_MS
from magnoliapitch.ledger.leader_appender import LeaderAppender
from magnoliapitch.ledger.leader_appender import first_sequence
from magnoliapitch.ledger.leader_appender import with_next_sequence
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.state_reader import StateReader
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import Writer


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.ledger.load_view import ReadTimes
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


READ_WAIT_MS = 800
# Records accumulate between two reads, which saves calls to the store. An
# instance that claims late does not need to notice a silent leader soon.
READ_INTERVAL_MS = 200
LATE_CLAIMANT_READ_INTERVAL_MS = 800
RETRY_DELAY_MS = 200


class Leadership:
    """Reads published job states and claims leadership if nobody leads.

    While this instance leads, it also stores the leader's records, under the
    epoch of its claim.

    :param can_lead: returns whether this instance is ready to lead.
    :param extra_claim_delay_ms: how much longer than other instances this one
        waits before it claims.
    :param address: ``IP:PORT`` at which other instances call this one.
    :ivar claim: claim under which this instance leads, or None.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        instance_id: str,
        state_table: StateTable,
        clock: Clock,
        health: StoreHealth,
        randomness: random.Random,
        can_lead: Callable[[], bool],
        extra_claim_delay_ms: int = 0,
        address: str = "",
    ) -> None:
        self.claim: Claim | None = None
        self._streams = streams
        self._instance_id = instance_id
        self._address = address
        self._state_table = state_table
        self._clock = clock
        self._health = health
        self._random = randomness
        self._can_lead = can_lead
        self._reader = StateReader(
            streams, clock, health, self._handle_changes
        )
        no_writer = Writer(PRODUCER, 0, 0)
        self._appender = self._open_appender(no_writer, no_writer)
        self._claim_delay = ClaimDelay(
            instance_id, randomness, extra_claim_delay_ms, clock.now_ms()
        )
        self._may_claim = True
        self._read_interval_ms = (
            LATE_CLAIMANT_READ_INTERVAL_MS
            if extra_claim_delay_ms
            else READ_INTERVAL_MS
        )
        # When the newest record that this instance has stored was sent.
        self._stored_ms = 0
        self._has_claimed = threading.Event()

    @property
    def has_loaded(self) -> bool:
        """Return whether the stream was read to its end at least once."""
        return self._reader.has_loaded

    def step(self) -> int:
        """Wait for new records; claim leadership if the leader is silent.

        :return: pause until the next call, in milliseconds.
        """
        if self.claim is not None:
            return self._read_interval_ms
        remaining_ms = self._claim_delay.remaining_ms(self._clock.now_ms())
        wait_ms = min(READ_WAIT_MS, max(0, remaining_ms))
        if self._claims_unread(remaining_ms):
            self._claim_if_leader_silent(0)
            return wait_ms
        started_ms = self._clock.now_ms()
        followed = self.follow(wait_ms)
        if isinstance(followed, Err):
            # The leader's records could not be read, so that its timeout
            # starts anew.
            self._claim_delay.postpone(self._clock.now_ms())
            return RETRY_DELAY_MS
        if wait_ms < READ_WAIT_MS:
            read_duration_ms = self._clock.now_ms() - started_ms - wait_ms
            self._claim_if_leader_silent(max(0, read_duration_ms))
        if self._state_table.leader and self._state_table.leader.has_resigned:
            return 0
        return self._read_interval_ms

    def _claims_unread(self, remaining_ms: int) -> bool:
        """Return whether to claim without another read.

        A leader that has resigned stores nothing more, and the store refuses
        the claim if another one has been stored since the last read.

        :param remaining_ms: time until this instance may claim.
        """
        return (
            self._claim_delay.follows_resignation
            and remaining_ms < self._reader.read_duration_ms
            and self._may_claim
            and self._can_lead()
        )

    def wait_for_claim(self, timeout_ms: int) -> Claim | None:
        """Wait until this instance leads; return its claim, or None."""
        self._has_claimed.wait(timeout_ms / 1000)
        return self.claim

    def refresh(self, max_age_ms: int) -> Result[None, Failure]:
        """Read the stream of states unless the last read is recent enough.

        The leader's own table is up to date until another one may claim.

        :param max_age_ms: do nothing if the last read began later than that.
        """
        now_ms = self._clock.now_ms()
        if self.claim and now_ms - self._stored_ms < LEADER_TIMEOUT_MS:
            return Ok(None)
        read_ms = self._reader.read_ms
        if read_ms is not None and now_ms - read_ms < max_age_ms:
            return Ok(None)
        return self.follow()

    def follow(self, wait_ms: int = 0) -> Result[None, Failure]:
        """Read the stream of states up to its end.

        :param wait_ms: how long to wait for a first new record.
        """
        return self._reader.follow(wait_ms)

    def fence_former_leaders(self) -> Result[int, Failure]:
        """Prevent former leaders from storing progress.

        An empty append under the new epoch makes the store refuse lower ones.
        """
        return self._appender.append_progress([])

    def keep_claim(self) -> Result[None, Failure]:
        """Store the claim again, while this instance prepares to lead.

        Others do not take it for silent then. Once the leader has stored
        states, nothing more is stored.
        """
        return self._appender.keep_claim().map(lambda _: None)

    def commit(
        self,
        batch: Batch,
        on_progress_stored: Callable[[], object] = lambda: None,
    ) -> Result[int, Failure]:
        """Store progress, then the states that follow from it.

        After a failure, the same batch can be committed again: nothing is
        stored twice. A record that the store refuses for good is left out.

        :param on_progress_stored: called once the progress is stored, before
            the states are.
        """
        sent_ms = self._clock.now_ms()
        outcome = self._appender.commit(batch, on_progress_stored)
        if not isinstance(outcome, Err):
            self._stored_ms = sent_ms
        return outcome

    def refused_keys(self) -> tuple[str, ...]:
        """Return the keys of progress that the store refused in this batch."""
        return self._appender.refused_keys()

    def resign(self) -> None:
        """Publish that this instance stops leading, so that others claim."""
        self._may_claim = False
        claim = self.claim
        if claim is None:
            return
        # The newest record has the offset up to which jobs were added.
        newest = self._state_table.leader or claim.record
        record = newest._replace(has_resigned=True)
        outcome = self._appender.append_states(
            [KeyedRecord(LEADER_KEY, encode_leader(record))]
        )
        result = "failed" if isinstance(outcome, Err) else "stored"
        log_event("leadership-resigned", outcome=result)

    def step_down(self) -> None:
        """Stop leading, since another claim was seen or the instance stops."""
        self.claim = None
        self._has_claimed.clear()
        self._claim_delay.restart(self._clock.now_ms())

    def _handle_changes(
        self,
        values_by_key: Mapping[str, bytes],
        keys: Iterable[str],
        read: ReadTimes,
    ) -> None:
        now_ms = self._clock.now_ms()
        self._state_table.apply(values_by_key, keys, read)
        self._claim_delay.record_heard(self._state_table.leader, now_ms)

    def _claim_if_leader_silent(self, read_duration_ms: int) -> None:
        end_offset = self._reader.apply_changes(self._reader.read_ms)
        checked_ms = self._clock.now_ms()
        if not self._claim_delay.is_over(checked_ms, read_duration_ms):
            return
        if not self._may_claim or not self._can_lead():
            return
        leader = self._state_table.leader
        last_epoch = leader.epoch if leader else 0
        epoch = next_epoch(last_epoch, self._random)
        job_offset = leader.job_offset if leader else -1
        record = LeaderRecord(
            epoch,
            self._instance_id,
            job_offset=job_offset,
            address=self._address,
            open_bytes=leader.open_bytes if leader else 0,
        )
        now_ms = self._clock.now_ms()
        clock = self._state_table.clock.continue_as(epoch, last_epoch, now_ms)
        writer = Writer(
            PRODUCER, epoch, first_sequence(self._instance_id, self._random)
        )
        outcome = self._streams.append(
            STATE_STREAM,
            claim_records(record, clock, now_ms),
            writer,
            end_offset,
            APPEND_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            self._handle_failed_claim(record, outcome.err_value)
            return
        self._reader.skip_to(outcome.ok_value.end)
        self._state_table.leader = record
        self._appender = self._open_appender(
            with_next_sequence(writer),
            writer,
            KeyedRecord(LEADER_KEY, encode_leader(record)),
        )
        self._stored_ms = now_ms
        self.claim = Claim(record, now_ms, clock)
        self._has_claimed.set()
        log_event(
            "leadership-claimed",
            epoch=epoch,
            silent_ms=self._claim_delay.silent_ms(checked_ms),
            leases_began_ms_ago=clock.inherited_age_ms(now_ms),
        )

    def _open_appender(
        self,
        state_writer: Writer,
        progress_writer: Writer,
        claim: KeyedRecord | None = None,
    ) -> LeaderAppender:
        return LeaderAppender(
            self._streams,
            self._clock,
            self._health,
            state_writer,
            progress_writer,
            claim,
        )

    def _handle_failed_claim(
        self, record: LeaderRecord, failure: Failure
    ) -> None:
        self._claim_delay.restart(self._clock.now_ms())
        log_event(
            "leadership-claim-failed",
            epoch=record.epoch,
            code=failure.code,
            reason=failure.detail,
        )
