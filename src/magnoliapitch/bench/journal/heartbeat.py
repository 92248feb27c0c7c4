"""Messages, bytes and processor time that heartbeats cost an instance."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.membership import Identity
from magnoliapitch.membership import Membership
from magnoliapitch.peer import codec
from magnoliapitch.standin.log import StandinLog
from magnoliapitch.standin.peer import StandinNetwork


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from magnoliapitch.peer.message import Heartbeat


ROUND_MS = 1_000
WARM_UP_ROUNDS = 12
MEASURED_ROUNDS = 10


class HeartbeatFigures(NamedTuple):
    """Mean cost of heartbeats for one instance, per simulated second.

    :param messages_per_s: heartbeats and answers that it sends.
    :param bytes_per_s: their encoded size, without framing.
    :param bytes_per_message: mean encoded size of one of them.
    :param cpu_ms_per_s: processor time, without sockets and framing, but
        with that for following the log.
    """

    messages_per_s: float
    bytes_per_s: float
    bytes_per_message: float
    cpu_ms_per_s: float


class BenchMember(Membership):
    """A membership that answers the heartbeats of its peers."""

    def heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Process a peer's heartbeat and return that of this member."""
        return self.handle_heartbeat(beat)


class CountingPeerLink:
    """Delivers heartbeats between members and counts them.

    :ivar messages: number of heartbeats and answers of all members.
    :ivar size_bytes: their encoded size.
    """

    def __init__(self, network: StandinNetwork) -> None:
        self.messages = 0
        self.size_bytes = 0
        self._network = network

    def heartbeat_all(
        self,
        beats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,  # noqa: ARG002
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Exchange heartbeats with the peers, one after another.

        :param on_answer: called with the address and the answer of each.
        """
        for address, beat in beats_by_address.items():
            handler = self._network.handlers_by_address[address]
            answer = handler.heartbeat(beat)
            for sent in (beat, answer):
                self.messages += 1
                self.size_bytes += beat_bytes(sent)
            on_answer(address, answer)


class MemberGroup:
    """Members in several zones that share a log, in simulated time.

    :param zones: number of zones.
    :param per_zone: number of members in each zone.
    """

    def __init__(self, zones: int, per_zone: int) -> None:
        self.clock = ManualClock(1_000_000)
        self.log = StandinLog()
        self.network = StandinNetwork()
        self.link = CountingPeerLink(self.network)
        self.members: list[BenchMember] = []
        self.journals: list[Journal] = []
        for zone in range(zones):
            for number in range(per_zone):
                self._add(f"zone-{zone:02}", number)

    def run(self, rounds: int) -> None:
        """Let every member follow the log and send its heartbeats.

        :param rounds: number of rounds; each lasts ``ROUND_MS``.
        """
        for _ in range(rounds):
            for journal, member in zip(
                self.journals, self.members, strict=True
            ):
                journal.follow_step()
                member.heartbeat_step(self.link)  # type: ignore[arg-type]
            self.clock.advance(ROUND_MS)

    def _add(self, zone: str, number: int) -> None:
        address = f"10.{len(self.members)}.0.{number}:8082"
        identity = Identity.create(f"{zone}-entry-{number}", zone, address)
        journal = Journal(self.log, identity.incarnation, self.clock)
        journal.enqueue(MemberJoin(*identity))
        journal.append_step()
        member = BenchMember(identity, journal, self.clock)
        self.network.handlers_by_address[address] = member  # type: ignore[assignment]
        self.members.append(member)
        self.journals.append(journal)


def beat_bytes(beat: Heartbeat) -> int:
    """Return the encoded size of a heartbeat in bytes."""
    message = codec.schema.Beat.new_message(**codec.heartbeat_to_dict(beat))
    return len(message.to_bytes_packed())


def measure_heartbeats(zones: int, per_zone: int) -> HeartbeatFigures:
    """Measure the heartbeats of a group whose members know each other.

    :param zones: number of zones.
    :param per_zone: number of members in each zone.
    """
    group = MemberGroup(zones, per_zone)
    group.run(WARM_UP_ROUNDS)
    group.link.messages = group.link.size_bytes = 0
    started_s = time.process_time()
    group.run(MEASURED_ROUNDS)
    cpu_ms = (time.process_time() - started_s) * 1000
    seconds = MEASURED_ROUNDS * ROUND_MS / 1000
    instance_seconds = seconds * len(group.members)
    return HeartbeatFigures(
        group.link.messages / instance_seconds,
        group.link.size_bytes / instance_seconds,
        group.link.size_bytes / group.link.messages,
        cpu_ms / instance_seconds,
    )
