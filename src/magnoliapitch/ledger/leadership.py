"""Which instance decides, by claims in the order of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import Writer


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


PRODUCER = "leader"
# Epochs of racing claims differ in their lower part.
EPOCH_SPREAD = 1 << 16
# Without a record of the leader for this long, others may claim.
LEADER_SILENCE_MS = 1_000
# A slow store shows the leader's records late: add this many reads.
SLOW_READS = 3
# Spreads the claims of several instances.
CLAIM_JITTER_MS = 300
RESIGNED_JITTER_MS = 60
FIRST_CLAIM_DELAY_MS = 300
COMMIT_TIMEOUT_MS = 800
FOLLOW_WAIT_MS = 800
# Between two reads records gather, so that fewer calls are made.
FOLLOW_PAUSE_MS = 200
RETRY_PAUSE_MS = 200


class Claim(NamedTuple):
    """A claim that was stored.

    :param stored_ms: when the call that stored it was answered.
    """

    record: LeaderRecord
    stored_ms: int


class Batch(NamedTuple):
    """Records that are stored together.

    :param progress: of jobs, which only the next leader reads.
    :param states: of jobs, which every instance follows.
    """

    progress: tuple[KeyedRecord, ...] = ()
    states: tuple[KeyedRecord, ...] = ()


class Leadership:
    """Follows the states of all jobs, and claims to lead when needed.

    :param can_lead: whether this instance knows enough to decide.
    :param handicap_ms: how much longer than others this instance waits
        before it claims.
    :ivar claim: the claim under which this instance leads, or None.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        instance_id: str,
        states: StateTable,
        clock: Clock,
        health: StoreHealth,
        randomness: random.Random,
        can_lead: Callable[[], bool],
        handicap_ms: int = 0,
    ) -> None:
        self.claim: Claim | None = None
        self.has_loaded = False
        self._streams = streams
        self._instance_id = instance_id
        self._states = states
        self._clock = clock
        self._health = health
        self._random = randomness
        self._can_lead = can_lead
        self._handicap_ms = handicap_ms
        self._mirror = StreamMirror(streams, STATE_STREAM)
        self._state_writer = Writer(PRODUCER, 0, 0)
        self._progress_writer = Writer(PRODUCER, 0, 0)
        self._is_progress_stored = False
        self._heard_ms = clock.now_ms()
        self._delay_ms = FIRST_CLAIM_DELAY_MS + handicap_ms
        self._may_claim = True

    def step(self) -> int:
        """Follow the stream; return milliseconds until the next call."""
        if self.claim is not None:
            return FOLLOW_PAUSE_MS
        left_ms = self._delay_ms - (self._clock.now_ms() - self._heard_ms)
        wait_ms = min(FOLLOW_WAIT_MS, max(0, left_ms))
        started_ms = self._clock.now_ms()
        is_read = self.follow(wait_ms)
        if isinstance(is_read, Err):
            # The leader could not be heard; it gets its time again.
            self._heard_ms = self._clock.now_ms()
            return RETRY_PAUSE_MS
        if wait_ms < FOLLOW_WAIT_MS:
            read_ms = self._clock.now_ms() - started_ms - wait_ms
            self._claim_if_silent(max(0, read_ms))
        if self._states.leader and self._states.leader.has_resigned:
            return 0
        return FOLLOW_PAUSE_MS

    def follow(self, wait_ms: int = 0) -> Result[None, Failure]:
        """Read the stream to its end once."""
        sent_ms = self._clock.now_ms()
        end = self._mirror.end
        changed = self._mirror.refresh(wait_ms)
        if isinstance(changed, Err):
            self._health.note_failure(changed.err_value)
            return changed
        self._health.note_success(sent_ms)
        self.has_loaded = True
        if self._mirror.end != end:
            self._heard(changed.ok_value)
        return Ok(None)

    def fence(self) -> Result[int, Failure]:
        """Keep former leaders from storing progress."""
        return self._append_progress([])

    def commit(self, batch: Batch) -> Result[int, Failure]:
        """Store progress, then the states that follow from it.

        The same batch may be committed again after a failure; what was
        stored the first time is not stored twice.
        """
        if batch.progress and not self._is_progress_stored:
            outcome = self._append_progress(batch.progress)
            if isinstance(outcome, Err):
                return outcome
            self._is_progress_stored = True
        if batch.states:
            outcome = self._append_states(batch.states)
            if isinstance(outcome, Err):
                return outcome
        self._is_progress_stored = False
        return Ok(0)

    def _append_progress(
        self, records: Sequence[KeyedRecord]
    ) -> Result[int, Failure]:
        outcome = self._append(PROGRESS_STREAM, records, self._progress_writer)
        if not isinstance(outcome, Err):
            self._progress_writer = _following(self._progress_writer)
        return outcome

    def _append_states(
        self, records: Sequence[KeyedRecord]
    ) -> Result[int, Failure]:
        outcome = self._append(STATE_STREAM, records, self._state_writer)
        if not isinstance(outcome, Err):
            self._state_writer = _following(self._state_writer)
        return outcome

    def _append(
        self, stream: str, records: Sequence[KeyedRecord], writer: Writer
    ) -> Result[int, Failure]:
        sent_ms = self._clock.now_ms()
        outcome = self._streams.append(
            stream, records, writer, timeout_ms=COMMIT_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            self._health.note_failure(outcome.err_value)
            return outcome
        self._health.note_success(sent_ms)
        return Ok(outcome.ok_value.end)

    def resign(self) -> None:
        """Tell the others that this instance leads no more."""
        self._may_claim = False
        claim = self.claim
        if claim is None:
            return
        record = claim.record._replace(has_resigned=True)
        outcome = self._append_states(
            [KeyedRecord(LEADER_KEY, encode_leader(record))]
        )
        result = "failed" if isinstance(outcome, Err) else "stored"
        log_event("leadership-resigned", outcome=result)

    def step_down(self) -> None:
        """Lead no more; another claim was seen or the instance stops."""
        self.claim = None
        self._heard_ms = self._clock.now_ms()
        self._delay_ms = self._silence_ms()

    def _heard(self, keys: set[str]) -> None:
        self._heard_ms = self._clock.now_ms()
        self._states.apply(self._mirror.values_by_key, keys)
        leader = self._states.leader
        if leader is not None and leader.has_resigned:
            jitter_ms = self._random.randrange(RESIGNED_JITTER_MS)
            self._delay_ms = jitter_ms + self._handicap_ms
        elif leader is not None and leader.instance_id == self._instance_id:
            # An earlier run of this instance led, and is surely gone.
            self._delay_ms = 0
        else:
            self._delay_ms = self._silence_ms()

    def _silence_ms(self) -> int:
        jitter_ms = self._random.randrange(CLAIM_JITTER_MS)
        return LEADER_SILENCE_MS + jitter_ms + self._handicap_ms

    def _claim_if_silent(self, read_ms: int) -> None:
        silent_ms = self._clock.now_ms() - self._heard_ms
        needed_ms = self._delay_ms + SLOW_READS * read_ms
        if silent_ms < needed_ms or not self._may_claim:
            return
        if not self._can_lead():
            return
        leader = self._states.leader
        last = leader.epoch if leader else 0
        base = (last // EPOCH_SPREAD + 1) * EPOCH_SPREAD
        epoch = base + self._random.randrange(EPOCH_SPREAD)
        record = LeaderRecord(epoch, self._instance_id)
        writer = Writer(PRODUCER, epoch, 1)
        outcome = self._streams.append(
            STATE_STREAM,
            [KeyedRecord(LEADER_KEY, encode_leader(record))],
            writer,
            self._mirror.end,
            COMMIT_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            self._note_lost_claim(record, outcome.err_value)
            return
        self._mirror.skip_to(outcome.ok_value.end)
        self._states.leader = record
        self._state_writer = _following(writer)
        self._progress_writer = writer
        self._is_progress_stored = False
        self.claim = Claim(record, self._clock.now_ms())
        log_event("leadership-claimed", epoch=epoch, silent_ms=silent_ms)

    def _note_lost_claim(self, record: LeaderRecord, failure: Failure) -> None:
        self._delay_ms = self._silence_ms()
        self._heard_ms = self._clock.now_ms()
        log_event(
            "leadership-claim-failed",
            epoch=record.epoch,
            code=failure.code,
            reason=failure.detail,
        )


def _following(writer: Writer) -> Writer:
    return writer._replace(sequence=writer.sequence + 1)
