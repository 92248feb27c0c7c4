"""Reads of the stream of states, from several threads."""

from __future__ import annotations

import itertools
import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.load_view import ReadTimes
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import STATE_STREAM


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure

    # Values by key, the keys that have changed, and when they were read.
    ApplyChanges = Callable[
        [Mapping[str, bytes], Iterable[str], ReadTimes], None
    ]


class StateReader:
    """Reads the stream of states and has its changes applied in order.

    :param apply: applies the records of a read; never called by two threads
        at a time.
    :ivar has_loaded: whether the stream was read to its end at least once.
    :ivar read_ms: when the newest successful read was sent, or None.
    :ivar read_duration_ms: how long the store took for the newest read that
        no record ended.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        clock: Clock,
        health: StoreHealth,
        apply: ApplyChanges,
    ) -> None:
        self.has_loaded = False
        self.read_ms: int | None = None
        self.read_duration_ms = 0
        self._clock = clock
        self._health = health
        self._apply = apply
        self._mirror = StreamMirror(streams, STATE_STREAM)
        # Held while records that were read are applied, in the order read.
        self._apply_lock = threading.Lock()
        self._applied_end = self._mirror.end
        self._read_numbers = itertools.count()
        self._sent_ms_by_read: dict[int, int] = {}

    def follow(self, wait_ms: int = 0) -> Result[None, Failure]:
        """Read the stream of states up to its end.

        :param wait_ms: how long to wait for a first new record.
        """
        sent_ms = self._clock.now_ms()
        previous_ms, former_end = self.read_ms, self._mirror.end
        read_number = next(self._read_numbers)
        self._sent_ms_by_read[read_number] = sent_ms
        try:
            outcome = self._mirror.read(wait_ms)
            if isinstance(outcome, Err):
                self._health.note_failure(outcome.err_value)
                return outcome
            self._health.note_success(sent_ms)
            if self._mirror.end == former_end:
                waited_ms = self._clock.now_ms() - sent_ms
                self.read_duration_ms = max(0, waited_ms - wait_ms)
            self.read_ms = max(self.read_ms or 0, sent_ms)
            self.has_loaded = True
            self.apply_changes(previous_ms)
        finally:
            del self._sent_ms_by_read[read_number]
        return Ok(None)

    def apply_changes(self, previous_ms: int | None) -> int:
        """Apply the records that any thread has read.

        Their age counts from the earliest read under way. The time of receipt
        is taken after the values, so that no reading of the shared clock is
        taken to be from before it was stored.

        :param previous_ms: when the previous successful read was sent.
        :return: offset before which all records are applied.
        """
        with self._apply_lock:
            value_by_key, end = self._mirror.take_changes()
            if value_by_key or end != self._applied_end:
                received_ms = self._clock.now_ms()
                sent_ms = min(
                    self._sent_ms_by_read.copy().values(),
                    default=received_ms,
                )
                values = {key: v for key, v in value_by_key.items() if v}
                read = ReadTimes(sent_ms, previous_ms, received_ms)
                self._apply(values, value_by_key.keys(), read)
            self._applied_end = end
        return end

    def skip_to(self, end: int) -> None:
        """Continue at an offset; the caller knows the records before it.

        :param end: offset of the next record to read.
        """
        self._mirror.skip_to(end)
