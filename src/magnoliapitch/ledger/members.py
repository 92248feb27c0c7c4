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
# Interval at which every instance reads the others; the leader also reads them
# with the list of workers.
READ_INTERVAL_MS = 5_000


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
    :ivar known_peers: the other instances, as they were read last; None if
        they never were.
    """

    def __init__(
        self, streams: KeyedStreams, instance_id: str, own: Member
    ) -> None:
        self._streams = streams
        self._instance_id = instance_id
        self._own = own
        self._is_announced = False
        self.known_peers: tuple[Member, ...] | None = None
        self._mirror = StreamMirror(streams, MEMBER_STREAM)

    @property
    def known_addresses(self) -> tuple[str, ...]:
        """Return ``IP:PORT`` of the other instances, as read last."""
        return tuple(member.address for member in self.known_peers or ())

    def step(self) -> int:
        """Announce this instance, then read the others now and then.

        :return: pause until the next call, in milliseconds.
        """
        if self._is_announced:
            read = self.peers()
            if isinstance(read, Err):
                log_event("peers-unread", reason=read.err_value.detail)
                return ANNOUNCE_RETRY_DELAY_MS
            return READ_INTERVAL_MS
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
        outcome = self._mirror.refresh().map(lambda _: self._others())
        if not isinstance(outcome, Err):
            self.known_peers = outcome.ok_value
        return outcome

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
