"""Encoded sizes of messages and journal records, by number of items."""

from __future__ import annotations

from pydantic import TypeAdapter

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.processor import sample_heartbeat
from magnoliapitch.bench.capacity.registry import size_slope
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.peer import codec
from magnoliapitch.peer.message import MemberInfo
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.worker.lease import WorkerView


SIZES = (1, 10, 50, 100)

_VIEW = TypeAdapter(WorkerView)


@size_slope("bytes of a job submission in a record", SIZES)
def job_submissions(size: int) -> float:
    """Return the size of a record with job submissions."""
    entries = tuple(sample.job_submit(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a task end in a record", SIZES)
def task_ends(size: int) -> float:
    """Return the size of a record with task ends."""
    entries = tuple(sample.task_end(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a catalogue change in a record", SIZES)
def catalogue_changes(size: int) -> float:
    """Return the size of a record with catalogue changes."""
    entries = tuple(sample.catalogue_put(n) for n in range(size))
    return float(len(encode_record(entries, sample.WRITER, 1)))


@size_slope("bytes of a task in a worker's view", SIZES)
def worker_views(size: int) -> float:
    """Return the size of a worker's view with running tasks."""
    return float(len(_VIEW.dump_json(sample.worker_view(size))))


@size_slope("bytes of a unit load in a heartbeat", SIZES)
def unit_loads(size: int) -> float:
    """Return the size of a heartbeat with the loads of units."""
    loads = tuple(UnitLoad(f"zone-1-rack-{n}") for n in range(size))
    fields = codec.heartbeat_to_dict(sample_heartbeat()._replace(loads=loads))
    return float(len(codec.schema.Beat.new_message(**fields).to_bytes()))


@size_slope("bytes of a member in a heartbeat", SIZES)
def members(size: int) -> float:
    """Return the size of a heartbeat with a table of members."""
    infos = tuple(
        MemberInfo(
            f"entry-{n}", sample.WRITER, "zone-1", "10.0.0.1:8082", 1, 20
        )
        for n in range(size)
    )
    fields = codec.heartbeat_to_dict(
        sample_heartbeat()._replace(members=infos)
    )
    return float(len(codec.schema.Beat.new_message(**fields).to_bytes()))
