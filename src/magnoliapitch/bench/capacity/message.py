"""Sizes of messages and records."""

from __future__ import annotations

from pydantic import TypeAdapter

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.processor import sample_beat
from magnoliapitch.bench.capacity.registry import size_slope
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.peer import codec
from magnoliapitch.peer.message import MemberInfo
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.worker.lease import WorkerView


SIZES = (1, 10, 50, 100)

_VIEW = TypeAdapter(WorkerView)


@size_slope("bytes of a job submission in a record", SIZES)
def submissions(size: int) -> float:
    """Encode submissions as one record."""
    entries = tuple(sample.job_submit(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a task end in a record", SIZES)
def task_ends(size: int) -> float:
    """Encode ends of tasks as one record."""
    entries = tuple(sample.task_end(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a catalogue change in a record", SIZES)
def catalogue_changes(size: int) -> float:
    """Encode catalogue changes as one record."""
    entries = tuple(sample.catalogue_put(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a task in a worker's view", SIZES)
def views(size: int) -> float:
    """Encode a worker's view."""
    return float(len(_VIEW.dump_json(sample.worker_view(size))))


@size_slope("bytes of a unit load in a heartbeat", SIZES)
def loads(size: int) -> float:
    """Encode a heartbeat with loads."""
    units = tuple(UnitLoad(f"zone-1-rack-{n}") for n in range(size))
    fields = codec.heartbeat_to_dict(sample_beat()._replace(loads=units))
    return float(len(codec.schema.Beat.new_message(**fields).to_bytes()))


@size_slope("bytes of a member in a heartbeat", SIZES)
def members(size: int) -> float:
    """Encode a heartbeat with a member table."""
    infos = tuple(
        MemberInfo(
            f"entry-{n}", sample.WRITER, "zone-1", "10.0.0.1:8082", 1, 20
        )
        for n in range(size)
    )
    fields = codec.heartbeat_to_dict(sample_beat()._replace(members=infos))
    return float(len(codec.schema.Beat.new_message(**fields).to_bytes()))
