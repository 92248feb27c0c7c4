"""Cost of three ways to learn that all instances applied a change."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.bench.journal.heartbeat import WARM_UP_ROUNDS
from magnoliapitch.bench.journal.heartbeat import MemberGroup
from magnoliapitch.bench.journal.heartbeat import beat_bytes
from magnoliapitch.clock import ManualClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberPresence
from magnoliapitch.peer import codec
from magnoliapitch.standin.log import StandinLog


POLL_INTERVAL_MS = 1_000
MAX_ROUNDS = 60
STEP_MS = 5
MAX_DURATION_MS = 60_000


class ProgressFigures(NamedTuple):
    """Cost until one instance knows that all have applied a change.

    :param messages: additional messages of all instances, to and from the
        log or between instances.
    :param size_bytes: additional bytes; those of a log record count once
        for the append and once for each instance that reads it.
    :param appends: additional appends to the log.
    :param delay_ms: simulated time from the append of the change.
    """

    messages: float
    size_bytes: float
    appends: int
    delay_ms: int


def measure_heartbeat_reports(zones: int, per_zone: int) -> ProgressFigures:
    """Report applied offsets in the heartbeats.

    Between zones only the smallest offset of each zone is reported.

    :param zones: number of zones.
    :param per_zone: number of instances in each zone.
    """
    group = MemberGroup(zones, per_zone)
    group.run(WARM_UP_ROUNDS)
    offset = group.log.append(encode_record((JobCancel("x"),))).unwrap()
    started_ms = group.clock.now_ms()
    messages_before = group.link.messages
    for _ in range(MAX_ROUNDS):
        group.run(1)
        if group.members[0].applied_everywhere().covers(offset):
            break
    messages = group.link.messages - messages_before
    beat = group.members[0].own_heartbeat()
    beat_without_progress = beat._replace(
        zones=(), next_offset=0, seen_offset=0
    )
    extra_bytes = beat_bytes(beat) - beat_bytes(beat_without_progress)
    delay_ms = group.clock.now_ms() - started_ms
    return ProgressFigures(0, messages * extra_bytes, 0, delay_ms)


def measure_polling(zones: int, per_zone: int) -> ProgressFigures:
    """Poll every other instance for its applied offset.

    :param zones: number of zones.
    :param per_zone: number of instances in each zone.
    """
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
    for _ in range(MAX_ROUNDS):
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


def measure_log_reports(instances: int, budget_per_s: int) -> ProgressFigures:
    """Let every instance report in the log that it applied the change.

    :param instances: number of instances.
    :param budget_per_s: appends per second that all instances may make
        together.
    """
    clock = ManualClock()
    log = StandinLog()
    journals = [
        Journal(log, f"{number:032x}", clock, budget_per_s)
        for number in range(instances)
    ]
    for number, journal in enumerate(journals):
        join = MemberJoin(f"entry-{number}", journal.incarnation, "zone", "")
        log.append(encode_record((join,)))
    for journal in journals:
        journal.follow_step()
    offset = log.append(encode_record((JobCancel("x"),))).unwrap()
    next_append_ms = [0] * instances
    reported_instances: set[int] = set()
    while clock.now_ms() < MAX_DURATION_MS:
        for number, journal in enumerate(journals):
            journal.follow_step()
            if (
                number not in reported_instances
                and journal.next_offset > offset
            ):
                journal.enqueue(MemberPresence(journal.incarnation))
                reported_instances.add(number)
            if clock.now_ms() >= next_append_ms[number]:
                next_append_ms[number] = clock.now_ms() + journal.append_step()
        clock.advance(STEP_MS)
        if journals[0].next_offset > offset + instances:
            break
    records = log.read(offset + 1, instances).unwrap().records
    size_bytes = sum(len(record.data) for record in records)
    delivered_count = len(records) * instances
    return ProgressFigures(
        len(records) + delivered_count,
        size_bytes * (1 + instances),
        len(records),
        clock.now_ms(),
    )
