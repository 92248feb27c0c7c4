"""The ``job`` commands."""

from __future__ import annotations

from typing import Any

import orjson

from cyclopts import App

from magnoliapitch.console.client import CALLER_URL
from magnoliapitch.console.client import AsJson
from magnoliapitch.console.client import Call
from magnoliapitch.console.client import CallerServer
from magnoliapitch.console.client import decode
from magnoliapitch.console.client import send
from magnoliapitch.console.output import print_table
from magnoliapitch.console.output import print_value


COLUMNS = ("job_id", "entry", "unit", "tasks", "finished", "done")

job = App(name="job", help="Submit, watch and cancel jobs.")


@job.command
def submit(
    job_id: str,
    entry: str,
    *,
    tasks: int = 1,
    cpu_millis: int = 1_000,
    memory_mb: int = 1_024,
    accelerators: int = 0,
    run_ms: int = 60_000,
    deadline_ms: int = 0,
    payload: str = "",
    server: CallerServer = CALLER_URL,
) -> None:
    """Submit a job; submitting the same job again is idempotent.

    :param job_id: unique id of the job.
    :param entry: catalogue entry of the work.
    :param tasks: number of tasks.
    :param cpu_millis: thousandths of a core for each task.
    :param memory_mb: mebibytes of memory for each task.
    :param accelerators: accelerators for each task.
    :param run_ms: expected run time of each task, in milliseconds.
    :param deadline_ms: wanted completion in milliseconds after
        submission, 0 for none.
    :param payload: input of every task.
    :param server: URL of the callers' interface.
    """
    value = {
        "job_id": job_id,
        "entry": entry,
        "tasks": tasks,
        "resources": {
            "cpu_millis": cpu_millis,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
        },
        "run_ms": run_ms,
        "deadline_ms": deadline_ms,
        "payload": payload,
    }
    send(server, Call("POST", "/v1/jobs", orjson.dumps(value)))
    print(f"{job_id}: accepted")


@job.command(name="list")
def list_jobs(
    *, server: CallerServer = CALLER_URL, as_json: AsJson = False
) -> None:
    """List the jobs that an instance knows.

    :param server: URL of the callers' interface.
    :param as_json: print JSON.
    """
    rows = decode(send(server, Call("GET", "/v1/jobs")))["jobs"]
    if as_json:
        print_value(rows, as_json)
    else:
        print_table(rows, COLUMNS)


@job.command
def status(
    job_id: str, *, server: CallerServer = CALLER_URL, as_json: AsJson = False
) -> None:
    """Show how far a job is.

    :param job_id: id of the job.
    :param server: URL of the callers' interface.
    :param as_json: print JSON.
    """
    print_value(_get(server, f"/v1/jobs/{job_id}"), as_json)


@job.command
def explain(
    job_id: str, *, server: CallerServer = CALLER_URL, as_json: AsJson = False
) -> None:
    """Tell why a job waits.

    :param job_id: id of the job.
    :param server: URL of the callers' interface.
    :param as_json: print JSON.
    """
    print_value(_get(server, f"/v1/jobs/{job_id}/explanation"), as_json)


@job.command
def cancel(job_id: str, *, server: CallerServer = CALLER_URL) -> None:
    """Cancel a job; tasks that run are stopped.

    :param job_id: id of the job.
    :param server: URL of the callers' interface.
    """
    send(server, Call("DELETE", f"/v1/jobs/{job_id}"))
    print(f"{job_id}: cancelled")


def _get(server: str, path: str) -> Any:
    return decode(send(server, Call("GET", path)))
