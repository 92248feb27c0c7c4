"""Three ways to know that a change is in force everywhere."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.bench.journal.heartbeat import WARM_ROUNDS
from magnoliapitch.bench.journal.heartbeat import MemberGroup
from magnoliapitch.bench.journal.heartbeat import beat_bytes
from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.record import EntryJoin
from magnoliapitch.journal.record import EntryPresence
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.peer import codec
from magnoliapitch.standin.log import StandinLog


POLL_INTERVAL_MS = 1_000
ROUNDS_MAX = 60
TICK_MS = 5
SECONDS_MAX_MS = 60_000


class ProgressFigures(NamedTuple):
    """Cost of knowing that one change is in force.

    :param messages: extra messages of all instances, in the log or
        between instances, until one instance knows.
    :param size_bytes: their extra bytes, sent and delivered once.
    :param appends: extra appends to the log.
    :param delay_ms: time until one instance knows, in simulated time.
    """

    messages: float
    size_bytes: float
    appends: int
    delay_ms: int


def measure_piggyback(zones: int, per_zone: int) -> ProgressFigures:
    """Carry offsets on the heartbeats, the minimum of a zone onwards."""
    group = MemberGroup(zones, per_zone)
    group.run(WARM_ROUNDS)
    offset = group.log.append(encode_record((JobCancel("x"),))).unwrap()
    started_ms = group.clock.now_ms()
    before = group.link.messages
    for _ in range(ROUNDS_MAX):
        group.run(1)
        if group.members[0].applied_everywhere().covers(offset):
            break
    messages = group.link.messages - before
    beat = group.members[0].own_heartbeat()
    bare = beat._replace(zones=(), next_offset=0, seen_offset=0)
    extra_bytes = beat_bytes(beat) - beat_bytes(bare)
    delay_ms = group.clock.now_ms() - started_ms
    return ProgressFigures(0, messages * extra_bytes, 0, delay_ms)


def measure_poll(zones: int, per_zone: int) -> ProgressFigures:
    """Let the instance that wants to know ask every other one."""
    group = MemberGroup(zones, per_zone)
    offset = group.log.append(encode_record((JobCancel("x"),))).unwrap()
    started_ms = group.clock.now_ms()
    request = codec.schema.LogEntry.new_message(offset=offset)
    answer = codec.schema.Beat.new_message(
        instanceId=group.members[0].identity.instance_id, nextOffset=offset
    )
    exchange_bytes = sum(
        len(item.to_bytes_packed()) for item in (request, answer)
    )
    messages = 0
    for _ in range(ROUNDS_MAX):
        group.clock.advance(POLL_INTERVAL_MS)
        for journal in group.journals:
            journal.follow_step()
        messages += 2 * (len(group.journals) - 1)
        if all(item.next_offset > offset for item in group.journals):
            break
    delay_ms = group.clock.now_ms() - started_ms
    return ProgressFigures(
        messages, messages / 2 * exchange_bytes, 0, delay_ms
    )


def measure_in_band(instances: int, budget_per_s: int) -> ProgressFigures:
    """Let every instance append what it has applied to the log itself.

    :param budget_per_s: appends a second of all instances together.
    """
    clock = ManualClock()
    log = StandinLog()
    journals = [
        Journal(log, f"{number:032x}", clock, budget_per_s)
        for number in range(instances)
    ]
    for number, journal in enumerate(journals):
        join = EntryJoin(f"entry-{number}", journal.incarnation, "zone", "")
        log.append(encode_record((join,)))
    for journal in journals:
        journal.follow_step()
    offset = log.append(encode_record((JobCancel("x"),))).unwrap()
    due_ms = [0] * instances
    reported: set[int] = set()
    while clock.now_ms() < SECONDS_MAX_MS:
        for number, journal in enumerate(journals):
            journal.follow_step()
            if number not in reported and journal.next_offset > offset:
                journal.enqueue(EntryPresence(journal.incarnation))
                reported.add(number)
            if clock.now_ms() >= due_ms[number]:
                due_ms[number] = clock.now_ms() + journal.append_step()
        clock.advance(TICK_MS)
        if journals[0].next_offset > offset + instances:
            break
    records = log.read(offset + 1, instances).unwrap().records
    size_bytes = sum(len(record.data) for record in records)
    delivered = len(records) * instances
    return ProgressFigures(
        len(records) + delivered,
        size_bytes * (1 + instances),
        len(records),
        clock.now_ms(),
    )
