"""Representative messages, records and workers for the benchmarks."""

from __future__ import annotations

import xxhash

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import RecordEntry
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.resource import Resources
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


WRITER = "0123456789abcdef0123456789abcdef"
ENTRY_NAME = "term-roster"
TASK_SIZE = Resources(2_000, 4_096)
WORKER_SIZE = Resources(32_000, 131_072, 1)


def job_id(number: int) -> str:
    """Return a job id that compresses as badly as a random one."""
    return xxhash.xxh3_64_hexdigest(f"job {number}".encode())


def catalogue_put(number: int) -> CataloguePut:
    """Return a journal entry that creates a catalogue entry."""
    entry = CatalogueEntry(
        f"entry-{number}", f"team-{number % 140}", WorkClass.BATCH
    )
    return CataloguePut(entry, 0)


def entry_join(number: int) -> MemberJoin:
    """Return a journal entry with which an entry instance joins."""
    return MemberJoin(
        f"entry-{number}",
        f"{number:032x}",
        f"zone-{number % 22}",
        f"10.0.{number // 256}.{number % 256}:8082",
    )


def job_submit(number: int, tasks: int = 1) -> JobSubmit:
    """Return a journal entry that submits a job.

    :param tasks: number of tasks of the job.
    """
    digest = xxhash.xxh3_64_intdigest(str(number).encode())
    size = Resources(500 * (1 + digest % 32), 512 * (1 + digest % 64))
    job = JobSpec(job_id(number), ENTRY_NAME, tasks, size, digest % 10**7)
    return JobSubmit(job, f"zone-{number % 22}-rack-{number % 100}")


def task_end(number: int) -> TaskEnd:
    """Return a journal entry that ends the only task of a job."""
    return TaskEnd(job_id(number), 0, 0, TaskOutcome.FINISHED)


def worker_info(number: int) -> InstanceInfo:
    """Return a worker as the platform lists it."""
    return InstanceInfo(
        f"worker-{number}",
        InstanceRole.WORKER,
        f"zone-{number % 22}",
        f"http://10.1.{number // 256}.{number % 256}:9000",
        unit=f"zone-{number % 22}-rack-{number // 8}",
        capacity=WORKER_SIZE,
    )


def worker_shape(number: int) -> WorkerShape:
    """Return a worker as a scheduler sees it."""
    return WorkerShape(
        f"worker-{number}", f"rack-{number // 8}", "zone-1", WORKER_SIZE
    )


def task_request(number: int) -> TaskRequest:
    """Return a task as it is submitted to a scheduler."""
    return TaskRequest(
        f"{job_id(number)}/0/0",
        job_id(number),
        ENTRY_NAME,
        "clubs",
        WorkClass.BATCH,
        TASK_SIZE,
        60_000,
        0,
    )


def worker_view(leases: int) -> WorkerView:
    """Return a worker's view with the leases of running tasks.

    :param leases: number of running tasks.
    """
    running = tuple(
        LeaseView(
            f"{job_id(number)}/0/0",
            1,
            10_000_000,
            LeaseKind.TASK,
            TASK_SIZE,
            LeaseState.RUNNING,
            ENTRY_NAME,
            TASK_SIZE,
        )
        for number in range(leases)
    )
    return WorkerView("worker-1", "boot-1", 9_000_000, running)


def log_records(
    entries: list[RecordEntry], entries_per_record: int
) -> tuple[LogRecord, ...]:
    """Encode journal entries as consecutive records of the log.

    :param entries_per_record: largest number of entries in a record.
    """
    batches = [
        tuple(entries[start : start + entries_per_record])
        for start in range(0, len(entries), entries_per_record)
    ]
    return tuple(
        LogRecord(offset, encode_record(batch, WRITER, offset + 1))
        for offset, batch in enumerate(batches)
    )
