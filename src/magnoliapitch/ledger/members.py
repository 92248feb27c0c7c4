"""The running instances and the addresses for calls between them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from pydantic import TypeAdapter
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


class Member(NamedTuple):
    """A running instance, as it announces itself.

    :param address: ``IP:PORT`` at which other instances call it.
    :param zone: availability zone.
    :param cores: processor cores that it may use.
    :param link_mbps: bandwidth of its network link in megabits per second.
    """

    address: str
    zone: str = ""
    cores: float = 1.0
    link_mbps: float = 1_000.0


_MEMBER_ADAPTER: TypeAdapter[Member] = TypeAdapter(Member)


class Members:
    """Announces this instance and reads the announcements of others.

    :param own: what this instance announces.
    """

    def __init__(
        self, streams: KeyedStreams, instance_id: str, own: Member
    ) -> None:
        self._streams = streams
        self._instance_id = instance_id
        self._own = own
        self._is_announced = False
        self._mirror = StreamMirror(streams, MEMBER_STREAM)

    def step(self) -> int:
        """Announce this instance if that has not succeeded yet.

        :return: pause until the next call, in milliseconds.
        """
        if self._is_announced:
            return ANNOUNCED_IDLE_MS
        value = _MEMBER_ADAPTER.dump_json(self._own)
        record = KeyedRecord(self._instance_id, value)
        outcome = self._streams.append(MEMBER_STREAM, [record])
        self._is_announced = not isinstance(outcome, Err)
        return ANNOUNCE_RETRY_DELAY_MS

    def leave(self) -> None:
        """Withdraw the announcement of this instance."""
        record = KeyedRecord(self._instance_id, b"")
        outcome = self._streams.append(MEMBER_STREAM, [record])
        if isinstance(outcome, Err):
            log_event("leave-failed", reason=outcome.err_value.detail)

    def peers(self) -> Result[tuple[Member, ...], Failure]:
        """Return every other instance that is announced."""
        return self._mirror.refresh().map(lambda _: self._others())

    def _others(self) -> tuple[Member, ...]:
        members: list[Member] = []
        for instance_id, value in self._mirror.values_by_key.items():
            if instance_id == self._instance_id:
                continue
            try:
                members.append(_MEMBER_ADAPTER.validate_json(value))
            except ValueError as error:
                log_event(
                    "record-unreadable", key=instance_id, reason=str(error)
                )
        return tuple(members)
