"""Processor time of messages, records and decisions, by their number."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from pydantic import TypeAdapter
from result import Ok

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.memory import SCHEDULING_POLICY
from magnoliapitch.bench.capacity.registry import MICROSECONDS_PER_SECOND
from magnoliapitch.bench.capacity.registry import PROCESSOR_UNIT
from magnoliapitch.bench.capacity.registry import direct_slope
from magnoliapitch.bench.capacity.registry import processor_slope
from magnoliapitch.bench.capacity.relayed_standins import serve_worker
from magnoliapitch.bench.decisions.scale import measure_decision_cost
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import apply_record
from magnoliapitch.json_value import to_json_value
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.peer import codec
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import Heartbeat
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.journal.record import RecordEntry


SIZES = (500, 1_000, 2_000, 4_000)
CALL_SIZES = (50, 100, 200, 400)
TASKS_PER_WORKER = 6
WORKERS_PER_ENTRY_INSTANCE = 120
QUEUED_TASK_COUNT = 1_000

_VIEW = TypeAdapter(WorkerView)
_INSTANCES = TypeAdapter(tuple[InstanceInfo, ...])


@processor_slope("processor time of a folded entry, batches of 1", SIZES)
def apply_single_entries(size: int) -> Callable[[], object]:
    """Apply job submissions from records of one entry."""
    return _apply_call([sample.job_submit(n) for n in range(size)], 1)


@processor_slope("processor time of a folded entry, batches of 50", SIZES)
def apply_batched_entries(size: int) -> Callable[[], object]:
    """Apply job submissions from records of 50 entries."""
    return _apply_call([sample.job_submit(n) for n in range(size)], 50)


@processor_slope("processor time of a heartbeat", SIZES)
def heartbeats(size: int) -> Callable[[], object]:
    """Encode and decode heartbeats."""
    beat = sample_heartbeat()

    def run() -> None:
        for _ in range(size):
            _encode_and_decode_heartbeat(beat)

    return run


@processor_slope("processor time of a forwarded request", SIZES)
def forwarded_requests(size: int) -> Callable[[], object]:
    """Encode and decode forwarded requests and their answers."""
    request = ForwardedRequest("r" * 32, sample.ENTRY_NAME, b"x" * 200, 10_000)
    answer = ForwardedAnswer("r" * 32, 200, b"y" * 200)

    def run() -> None:
        for _ in range(size):
            request_message = codec.schema.Forward.new_message(
                **codec.request_to_dict(request)
            )
            with codec.schema.Forward.from_bytes(
                request_message.to_bytes()
            ) as reader:
                codec.request_from(reader)
            answer_message = codec.schema.Answer.new_message(
                **codec.answer_to_dict(answer.request_id, Ok(answer))
            )
            with codec.schema.Answer.from_bytes(
                answer_message.to_bytes()
            ) as reader:
                codec.answer_from(reader)

    return run


@processor_slope("processor time of a renewal of one worker", SIZES)
def renewals(size: int) -> Callable[[], object]:
    """Decode the worker views in responses to renewals of six tasks."""
    encoded = _VIEW.dump_json(sample.worker_view(TASKS_PER_WORKER))

    def run() -> None:
        for _ in range(size):
            _VIEW.validate_json(encoded)

    return run


@processor_slope("processor time of a renewal over HTTP", CALL_SIZES)
def http_renewals(size: int) -> Callable[[], object]:
    """Renew the leases of six tasks over HTTP.

    Only the time of the calling thread counts, not that of the server.
    """

    def run() -> None:
        with serve_worker(TASKS_PER_WORKER) as (worker, _relay):
            for _ in range(size):
                worker.renew()

    return run


@processor_slope("processor time of a listed instance", SIZES)
def listed_instances(size: int) -> Callable[[], object]:
    """Decode a list of workers from the platform."""
    workers = tuple(sample.worker_info(number) for number in range(size))
    encoded = orjson.dumps(to_json_value(workers))
    return lambda: _INSTANCES.validate_json(encoded)


@direct_slope("processor time of a start", PROCESSOR_UNIT, SIZES)
def task_starts(size: int) -> float:
    """Return the processor time of starts by a saturated scheduler.

    It includes the time for the task ends and submissions between them.
    """
    cost = measure_decision_cost(
        WORKERS_PER_ENTRY_INSTANCE,
        QUEUED_TASK_COUNT,
        SCHEDULING_POLICY,
        starts=size,
    )
    return cost.starts / cost.starts_per_second * MICROSECONDS_PER_SECOND


@processor_slope("processor time of an encoded entry", SIZES)
def encoded_entries(size: int) -> Callable[[], object]:
    """Encode task ends in records of 50 entries."""
    entries: list[RecordEntry] = [sample.task_end(n) for n in range(size)]
    return lambda: sample.log_records(entries, 50)


def sample_heartbeat() -> Heartbeat:
    """Return a heartbeat without loads and members."""
    return Heartbeat("entry-1", sample.WRITER, "zone-1", 123_456, 20)


def _encode_and_decode_heartbeat(beat: Heartbeat) -> None:
    message = codec.schema.Beat.new_message(**codec.heartbeat_to_dict(beat))
    with codec.schema.Beat.from_bytes(message.to_bytes()) as reader:
        codec.heartbeat_from(reader)


def _apply_call(
    entries: list[RecordEntry], entries_per_record: int
) -> Callable[[], object]:
    records = sample.log_records(entries, entries_per_record)

    def run() -> None:
        state = ClusterState()
        for record in records:
            apply_record(state, record)

    return run
