"""Messages and bytes that heartbeats cost one instance."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal.record import EntryJoin
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
WARM_ROUNDS = 12
MEASURED_ROUNDS = 10


class HeartbeatFigures(NamedTuple):
    """Cost of one instance, a mean over all.

    :param messages_per_s: heartbeats and answers that it sends.
    :param bytes_per_s: their encoded size, without framing.
    :param cpu_ms_per_s: processor time, without sockets and framing.
    """

    messages_per_s: float
    bytes_per_s: float
    bytes_per_message: float
    cpu_ms_per_s: float


class Member(Membership):
    """A membership that serves its peers' heartbeats."""

    def heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Take in a peer's heartbeat and return the own one."""
        return self.handle_heartbeat(beat)


class CountingLink:
    """Counts what passes between members.

    :ivar messages: heartbeats and answers of all members.
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
        """Exchange heartbeats with many peers, one after another."""
        for address, beat in beats_by_address.items():
            handler = self._network.handlers_by_address[address]
            answer = handler.heartbeat(beat)
            for sent in (beat, answer):
                self.messages += 1
                self.size_bytes += beat_bytes(sent)
            on_answer(address, answer)


class MemberGroup:
    """Members of several zones that share a log, in simulated time."""

    def __init__(self, zones: int, per_zone: int) -> None:
        self.clock = ManualClock(1_000_000)
        self.log = StandinLog()
        self.network = StandinNetwork()
        self.link = CountingLink(self.network)
        self.members: list[Member] = []
        self.journals: list[Journal] = []
        for zone in range(zones):
            for number in range(per_zone):
                self._add(f"zone-{zone:02}", number)

    def run(self, rounds: int) -> None:
        """Let every instance follow the log and send its heartbeats."""
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
        journal.enqueue(EntryJoin(*identity))
        journal.append_step()
        member = Member(identity, journal, self.clock)
        self.network.handlers_by_address[address] = member  # type: ignore[assignment]
        self.members.append(member)
        self.journals.append(journal)


def beat_bytes(beat: Heartbeat) -> int:
    """Return the encoded size of a heartbeat."""
    message = codec.schema.Beat.new_message(**codec.heartbeat_to_dict(beat))
    return len(message.to_bytes_packed())


def measure_heartbeats(zones: int, per_zone: int) -> HeartbeatFigures:
    """Count the heartbeats of a settled group."""
    group = MemberGroup(zones, per_zone)
    group.run(WARM_ROUNDS)
    group.link.messages = group.link.size_bytes = 0
    started_s = time.process_time()
    group.run(MEASURED_ROUNDS)
    cpu_ms = (time.process_time() - started_s) * 1000
    seconds = MEASURED_ROUNDS * ROUND_MS / 1000
    share = seconds * len(group.members)
    return HeartbeatFigures(
        group.link.messages / share,
        group.link.size_bytes / share,
        group.link.size_bytes / group.link.messages,
        cpu_ms / share,
    )
