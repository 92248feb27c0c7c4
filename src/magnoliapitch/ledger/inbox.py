"""Follows the stream of submitted and cancelled jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import JOB_STREAM


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.replica import Replica
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


WAIT_MS = 800
# Between two reads records gather, so that fewer calls are made.
FOLLOW_PAUSE_MS = 500
RETRY_PAUSE_MS = 200


class Inbox:
    """Takes submitted and cancelled jobs into the replica.

    :param is_leading: whether every record is to be read at once.
    :param post: takes the ids of changed jobs.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        replica: Replica,
        clock: Clock,
        health: StoreHealth,
        is_leading: Callable[[], bool],
        post: Callable[[frozenset[str]], None],
    ) -> None:
        self.has_loaded = False
        self._replica = replica
        self._clock = clock
        self._health = health
        self._is_leading = is_leading
        self._post = post
        self._mirror = StreamMirror(streams, JOB_STREAM)

    def step(self) -> int:
        """Follow the stream; return milliseconds until the next call."""
        if isinstance(self.follow(WAIT_MS), Err):
            return RETRY_PAUSE_MS
        return 0 if self._is_leading() else FOLLOW_PAUSE_MS

    def follow(self, wait_ms: int = 0) -> Result[None, Failure]:
        """Read the stream to its end once."""
        sent_ms = self._clock.now_ms()
        changed = self._mirror.refresh(wait_ms)
        if isinstance(changed, Err):
            self._health.note_failure(changed.err_value)
            return changed
        self._health.note_success(sent_ms)
        self.has_loaded = True
        keys = changed.ok_value
        ids = self._replica.apply(self._mirror.values_by_key, keys)
        if ids:
            self._post(frozenset(ids))
        return Ok(None)
