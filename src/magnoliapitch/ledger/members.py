"""The running instances and the addresses for calls between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


MEMBER_STREAM = "members"
ANNOUNCE_RETRY_DELAY_MS = 300
# Interval of the loop once there is nothing left to announce.
ANNOUNCED_IDLE_MS = 10_000


class Members:
    """Announces this instance and reads the announcements of others.

    :param address: ``IP:PORT`` at which other instances call this one.
    """

    def __init__(
        self, streams: KeyedStreams, instance_id: str, address: str
    ) -> None:
        self._streams = streams
        self._instance_id = instance_id
        self._address = address
        self._is_announced = False
        self._mirror = StreamMirror(streams, MEMBER_STREAM)

    def step(self) -> int:
        """Announce this instance if that has not succeeded yet.

        :return: pause until the next call, in milliseconds.
        """
        if self._is_announced:
            return ANNOUNCED_IDLE_MS
        record = KeyedRecord(self._instance_id, self._address.encode())
        outcome = self._streams.append(MEMBER_STREAM, [record])
        self._is_announced = not isinstance(outcome, Err)
        return ANNOUNCE_RETRY_DELAY_MS

    def leave(self) -> None:
        """Withdraw the announcement of this instance."""
        record = KeyedRecord(self._instance_id, b"")
        outcome = self._streams.append(MEMBER_STREAM, [record])
        if isinstance(outcome, Err):
            log_event("leave-failed", reason=outcome.err_value.detail)

    def peers(self) -> Result[dict[str, str], Failure]:
        """Return the ``IP:PORT`` of every other instance by instance id."""
        return self._mirror.refresh().map(lambda _: self._others())

    def _others(self) -> dict[str, str]:
        return {
            instance_id: address.decode()
            for instance_id, address in self._mirror.values_by_key.items()
            if instance_id != self._instance_id
        }
