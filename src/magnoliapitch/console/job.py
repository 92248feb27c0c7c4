"""The ``job`` commands."""

from __future__ import annotations

from typing import Any

import orjson

from cyclopts import App

from magnoliapitch.console.client import DEFAULT_CALLER_URL
from magnoliapitch.console.client import CallerUrlOption
from magnoliapitch.console.client import HttpCall
from magnoliapitch.console.client import JsonFlag
from magnoliapitch.console.client import decode_json
from magnoliapitch.console.client import send
from magnoliapitch.console.output import print_rows
from magnoliapitch.console.output import print_value


LIST_COLUMNS = ("job_id", "entry", "unit", "tasks", "finished", "done")

job = App(name="job", help="Submit, inspect and cancel jobs.")


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
    server: CallerUrlOption = DEFAULT_CALLER_URL,
) -> None:
    """Submit a job; submitting the same job again has no further effect.

    :param job_id: unique id of the job.
    :param entry: name of the catalogue entry that the job belongs to.
    :param tasks: number of tasks.
    :param cpu_millis: thousandths of a core for each task.
    :param memory_mb: mebibytes of memory for each task.
    :param accelerators: accelerators for each task.
    :param run_ms: expected run time of each task, in milliseconds.
    :param deadline_ms: time from submission until the job should be
        complete, in milliseconds; 0 for no deadline.
    :param payload: input that every task receives.
    :param server: URL of the instance's caller interface.
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
    send(server, HttpCall("POST", "/v1/jobs", orjson.dumps(value)))
    print(f"{job_id}: accepted")


@job.command(name="list")
def list_jobs(
    *, server: CallerUrlOption = DEFAULT_CALLER_URL, as_json: JsonFlag = False
) -> None:
    """List the jobs that an instance knows of.

    :param server: URL of the instance's caller interface.
    :param as_json: print JSON instead of text.
    """
    rows = decode_json(send(server, HttpCall("GET", "/v1/jobs")))["jobs"]
    print_rows(rows, LIST_COLUMNS, as_json)


@job.command
def status(
    job_id: str,
    *,
    server: CallerUrlOption = DEFAULT_CALLER_URL,
    as_json: JsonFlag = False,
) -> None:
    """Show the progress of a job.

    :param job_id: id of the job.
    :param server: URL of the instance's caller interface.
    :param as_json: print JSON instead of text.
    """
    print_value(_fetch(server, f"/v1/jobs/{job_id}"), as_json)


@job.command
def explain(
    job_id: str,
    *,
    server: CallerUrlOption = DEFAULT_CALLER_URL,
    as_json: JsonFlag = False,
) -> None:
    """Explain why a job is waiting.

    :param job_id: id of the job.
    :param server: URL of the instance's caller interface.
    :param as_json: print JSON instead of text.
    """
    print_value(_fetch(server, f"/v1/jobs/{job_id}/explanation"), as_json)


@job.command
def cancel(
    job_id: str, *, server: CallerUrlOption = DEFAULT_CALLER_URL
) -> None:
    """Cancel a job and stop its running tasks.

    :param job_id: id of the job.
    :param server: URL of the instance's caller interface.
    """
    send(server, HttpCall("DELETE", f"/v1/jobs/{job_id}"))
    print(f"{job_id}: cancelled")


def _fetch(server: str, path: str) -> Any:
    return decode_json(send(server, HttpCall("GET", path)))
