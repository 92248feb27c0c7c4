"""Processor slopes of messages and decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from pydantic import TypeAdapter
from result import Ok

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.memory import POLICY
from magnoliapitch.bench.capacity.registry import MICROSECONDS_PER_SECOND
from magnoliapitch.bench.capacity.registry import PROCESSOR_UNIT
from magnoliapitch.bench.capacity.registry import direct_slope
from magnoliapitch.bench.capacity.registry import processor_slope
from magnoliapitch.bench.capacity.served import served_worker
from magnoliapitch.bench.decisions.scale import decision_cost
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
TASKS_A_WORKER = 6
WORKERS_OF_AN_ENTRY = 120
QUEUED_TASKS = 1_000

_VIEW = TypeAdapter(WorkerView)
_INSTANCES = TypeAdapter(tuple[InstanceInfo, ...])


@processor_slope("processor time of a folded entry, batches of 1", SIZES)
def fold_single(size: int) -> Callable[[], object]:
    """Fold job submissions, one a record."""
    return _fold_call([sample.job_submit(n) for n in range(size)], 1)


@processor_slope("processor time of a folded entry, batches of 50", SIZES)
def fold_batched(size: int) -> Callable[[], object]:
    """Fold job submissions, fifty a record."""
    return _fold_call([sample.job_submit(n) for n in range(size)], 50)


@processor_slope("processor time of a heartbeat", SIZES)
def heartbeats(size: int) -> Callable[[], object]:
    """Encode and decode heartbeats."""
    beat = sample_beat()

    def run() -> None:
        for _ in range(size):
            _beat_round(beat)

    return run


@processor_slope("processor time of a forwarded request", SIZES)
def forwards(size: int) -> Callable[[], object]:
    """Encode and decode a request and its answer."""
    request = ForwardedRequest("r" * 32, sample.ENTRY_NAME, b"x" * 200, 10_000)
    answer = ForwardedAnswer("r" * 32, 200, b"y" * 200)

    def run() -> None:
        for _ in range(size):
            sent = codec.schema.Forward.new_message(
                **codec.request_to_dict(request)
            )
            with codec.schema.Forward.from_bytes(sent.to_bytes()) as reader:
                codec.request_from(reader)
            back = codec.schema.Answer.new_message(
                **codec.answer_to_dict(answer.request_id, Ok(answer))
            )
            with codec.schema.Answer.from_bytes(back.to_bytes()) as reader:
                codec.answer_from(reader)

    return run


@processor_slope("processor time of a renewal of one worker", SIZES)
def renewals(size: int) -> Callable[[], object]:
    """Decode the view that answers a renewal of six tasks."""
    encoded = _VIEW.dump_json(sample.worker_view(TASKS_A_WORKER))

    def run() -> None:
        for _ in range(size):
            _VIEW.validate_json(encoded)

    return run


@processor_slope("processor time of a renewal over HTTP", CALL_SIZES)
def http_renewals(size: int) -> Callable[[], object]:
    """Renew six tasks over HTTP; only the caller's thread counts."""

    def run() -> None:
        with served_worker(TASKS_A_WORKER) as (worker, _relay):
            for _ in range(size):
                worker.renew()

    return run


@processor_slope("processor time of a listed instance", SIZES)
def listed_instances(size: int) -> Callable[[], object]:
    """Decode the platform's list of workers."""
    workers = tuple(sample.worker_info(number) for number in range(size))
    encoded = orjson.dumps(to_json_value(workers))
    return lambda: _INSTANCES.validate_json(encoded)


@direct_slope("processor time of a start", PROCESSOR_UNIT, SIZES)
def starts(size: int) -> float:
    """Decide on starts while saturated, with the ends they need."""
    cost = decision_cost(
        WORKERS_OF_AN_ENTRY, QUEUED_TASKS, POLICY, starts=size
    )
    return cost.starts / cost.starts_per_second * MICROSECONDS_PER_SECOND


@processor_slope("processor time of an encoded entry", SIZES)
def encoded(size: int) -> Callable[[], object]:
    """Encode ends of tasks in batches of 50."""
    entries: list[RecordEntry] = [sample.task_end(n) for n in range(size)]
    return lambda: sample.log_records(entries, 50)


def sample_beat() -> Heartbeat:
    """Return a heartbeat without loads or member table."""
    return Heartbeat("entry-1", sample.WRITER, "zone-1", 123_456, 20)


def _beat_round(beat: Heartbeat) -> None:
    message = codec.schema.Beat.new_message(**codec.heartbeat_to_dict(beat))
    with codec.schema.Beat.from_bytes(message.to_bytes()) as reader:
        codec.heartbeat_from(reader)


def _fold_call(entries: list[RecordEntry], batch: int) -> Callable[[], object]:
    records = sample.log_records(entries, batch)

    def run() -> None:
        state = ClusterState()
        for record in records:
            apply_record(state, record)

    return run
