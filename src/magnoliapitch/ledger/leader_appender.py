"""Records that a leader stores under its epoch."""

from __future__ import annotations

import threading
import zlib

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.record_calls import RecordCalls
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.ledger.stream import Writer
    from magnoliapitch.verdict import Failure


APPEND_TIMEOUT_MS = 800
# A claim's first sequence number is a random one of this size.
SEQUENCE_BITS = 30


class Batch(NamedTuple):
    """Records that the leader stores in one commit.

    :param progress: progress of jobs, which only the next leader reads.
    :param states: states of jobs, which every instance reads.
    """

    progress: tuple[KeyedRecord, ...] = ()
    states: tuple[KeyedRecord, ...] = ()


class LeaderAppender:
    """Stores the records of one claim, under its epoch.

    A commit that is still under way when the instance claims again stays
    with the appender that it began with, so that the store refuses it.

    :param state_writer: writer of the stream of states.
    :param progress_writer: writer of the stream of progress.
    :param claim: record of the claim, stored again by :meth:`keep_claim`.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        clock: Clock,
        health: StoreHealth,
        state_writer: Writer,
        progress_writer: Writer,
        claim: KeyedRecord | None = None,
    ) -> None:
        self._streams = streams
        self._clock = clock
        self._health = health
        self._state_writer = state_writer
        self._progress_writer = progress_writer
        self._claim = claim
        # Whether the claim may have been stored under the next sequence
        # number. It is sent again before that number stands for other records.
        self._is_claim_unanswered = False
        # Held during each append of states.
        self._state_lock = threading.Lock()
        self._batch: Batch | None = None
        self._progress_calls = RecordCalls(())
        self._state_calls = RecordCalls(())

    def commit(
        self, batch: Batch, on_progress_stored: Callable[[], object]
    ) -> Result[int, Failure]:
        """Store progress, then the states that follow from it.

        The parameters are those of :meth:`Leadership.commit`.
        """
        self._begin(batch)
        if not self._progress_calls.has_ended:
            outcome = self._progress_calls.store(
                self.append_progress,
                lambda: self._accepts_calls(PROGRESS_STREAM),
            )
            if isinstance(outcome, Err):
                return outcome
            on_progress_stored()
        outcome = self._state_calls.store(
            self.append_states, lambda: self._accepts_calls(STATE_STREAM)
        )
        if not isinstance(outcome, Err):
            self._batch = None
        return outcome

    def refused_keys(self) -> tuple[str, ...]:
        """Return the keys of progress that the store refused in this batch."""
        return tuple(self._progress_calls.refused_keys)

    def append_progress(
        self, records: Sequence[KeyedRecord]
    ) -> Result[int, Failure]:
        """Append records of progress in one call.

        :return: the end of the stream.
        """
        writer = self._progress_writer
        outcome = self._append(PROGRESS_STREAM, records, writer)
        if not isinstance(outcome, Err):
            self._progress_writer = with_next_sequence(writer)
        return outcome

    def append_states(
        self, records: Sequence[KeyedRecord]
    ) -> Result[int, Failure]:
        """Append records of states in one call.

        From then on, the claim is not stored again.

        :return: the end of the stream.
        """
        with self._state_lock:
            if self._is_claim_unanswered:
                outcome = self._append_claim()
                if isinstance(outcome, Err):
                    return outcome
            self._claim = None
            return self._append_states(records)

    def keep_claim(self) -> Result[int, Failure]:
        """Store the claim again, unless states were stored since.

        Other instances see that the leader is there while it still prepares.

        :return: the end of the stream; 0 if nothing was to be stored.
        """
        with self._state_lock:
            return Ok(0) if self._claim is None else self._append_claim()

    def _append_claim(self) -> Result[int, Failure]:
        claim = self._claim
        if claim is None:
            return Ok(0)
        self._is_claim_unanswered = True
        outcome = self._append_states([claim])
        if not isinstance(outcome, Err):
            self._is_claim_unanswered = False
        return outcome

    def _append_states(
        self, records: Sequence[KeyedRecord]
    ) -> Result[int, Failure]:
        writer = self._state_writer
        outcome = self._append(STATE_STREAM, records, writer)
        if not isinstance(outcome, Err):
            self._state_writer = with_next_sequence(writer)
        return outcome

    def _begin(self, batch: Batch) -> None:
        """Begin to commit a batch, or go on with it."""
        if batch is not self._batch:
            self._batch = batch
            self._progress_calls = RecordCalls(batch.progress)
            self._state_calls = RecordCalls(batch.states)

    def _accepts_calls(self, stream: str) -> bool:
        return self._streams.append(
            stream, [], timeout_ms=APPEND_TIMEOUT_MS
        ).is_ok()

    def _append(
        self, stream: str, records: Sequence[KeyedRecord], writer: Writer
    ) -> Result[int, Failure]:
        sent_ms = self._clock.now_ms()
        outcome = self._streams.append(
            stream, records, writer, timeout_ms=APPEND_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            self._health.note_failure(outcome.err_value)
            return outcome
        self._health.note_success(sent_ms)
        return Ok(outcome.ok_value.end)


def first_sequence(instance_id: str, randomness: random.Random) -> int:
    """Return a sequence number that no other instance's claim begins with.

    The store takes an append with the same epoch and number for a repeat,
    and would answer a second claim as it did the first.
    """
    own = zlib.crc32(instance_id.encode())
    number = own ^ randomness.randrange(1 << SEQUENCE_BITS)
    return 1 + number % (1 << SEQUENCE_BITS)


def with_next_sequence(writer: Writer) -> Writer:
    """Return the writer of the append that follows."""
    return writer._replace(sequence=writer.sequence + 1)


__all__ = ["Batch", "LeaderAppender", "first_sequence", "with_next_sequence"]
