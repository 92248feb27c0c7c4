"""Room kept for a gang that fits nowhere keeps small jobs from running."""

from __future__ import annotations

import os
import sys
import threading
import time

from collections import Counter
from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER / "standin"))

from cluster import COULD_NOT_RUN  # noqa: E402
from cluster import Cluster  # noqa: E402
from cluster import Record  # noqa: E402


HAS_TROUBLE = os.environ["TROUBLE"] != "0"
# The users' small deployments: 6 machines, 24 runners of 32 cores.
ENTRY_COUNT = 6
RUNNER_COUNT = 24
RUNNER_CPU = 32_000
ATTEMPTS = 5
# Seconds after the instances are ready.
GANGS_S = (8.0, 23.0, 38.5)
END_OF_TRAFFIC_S = 40.0
FINISH_S = 14.0
WINDOW_S = 3.0
ORDINARY_INTERVAL_S = 0.5
ORDINARY_CPU = 1_000
# One task on each runner, which goes on to the end.
LONG_CPU = 3_000
LONG_MS = 90_000
# The largest jobs of the sheet. 24 such tasks fit beside the long ones.
GANG_TASKS = 32
GANG_CPU = 15_000
GANGS_AT_ONCE = 3


def submit(
    cluster: Cluster, queue: str, job_id: str, body: object, who: str
) -> None:
    """Hand a job in at the ready instances, in turn, as clients retry."""
    for attempt in range(ATTEMPTS):
        ready = [entry for entry in cluster.entries if entry.is_ready()]
        entries = ready or cluster.entries
        entry = entries[(int(job_id, 16) + attempt) % len(entries)]
        status, _ = entry.call("POST", queue, job_id, body)
        cluster.record.add(
            "submitted", who=who, job=job_id, entry=entry.name, status=status
        )
        if status not in (0, 502, 503, 504, 429):
            return
        time.sleep(0.5)


def long_job() -> dict[str, object]:
    step = {
        "count": RUNNER_COUNT,
        "cpu": LONG_CPU,
        "mem-mb": 1_024,
        "max-per-server": 1,
    }
    return {"spec": str(LONG_MS), "steps": [step]}


def gang_job() -> dict[str, object]:
    step = {
        "count": GANG_TASKS,
        "cpu": GANG_CPU,
        "mem-mb": 1_024,
        "gang": True,
    }
    return {"spec": "5000", "steps": [step]}


def ordinary_client(cluster: Cluster, start_s: float) -> None:
    number = 0
    while cluster.record.now_s() < start_s + END_OF_TRAFFIC_S:
        number += 1
        step = {"count": 1, "cpu": ORDINARY_CPU, "mem-mb": 64}
        body = {"spec": "300", "steps": [step]}
        job_id = f"{0xA000 + number:016x}"
        threading.Thread(
            target=submit,
            args=(cluster, "checks", job_id, body, "ordinary"),
            daemon=True,
        ).start()
        time.sleep(ORDINARY_INTERVAL_S)


def sleep_until(record: Record, at_s: float) -> None:
    time.sleep(max(0.0, at_s - record.now_s()))


def accepted_jobs(record: Record, who: str) -> list[str]:
    return sorted(
        {
            str(row["job"])
            for _, row in record.of("submitted")
            if row["who"] == who and row["status"] == 200
        }
    )


def cpu_of(task: str) -> int:
    is_long = int(task.partition(".")[0], 16) == 0xD000
    return LONG_CPU if is_long else ORDINARY_CPU


def stuck_jobs(
    record: Record, jobs: list[str], from_s: float
) -> tuple[list[str], float]:
    """Return the jobs of which nothing ran for 3 s, and the CPU in use.

    :return: the share of the CPU that was in use at any time of the window.
    """
    runs: dict[tuple[str, int, str], list[float]] = {}
    for at_s, row in record.of("start"):
        runs[row["task"], row["run"], row["runner"]] = [at_s, float("inf")]
    done_tasks = set()
    for at_s, row in record.of("end"):
        runs[row["task"], row["run"], row["runner"]][1] = at_s
        if row["kind"] == "done":
            done_tasks.add(row["task"])
    until_s = from_s + WINDOW_S
    in_window = [
        key
        for key, (start, end) in runs.items()
        if start < until_s and end > from_s
    ]
    used = sum(cpu_of(key[0]) for key in in_window)
    share = used / (RUNNER_COUNT * RUNNER_CPU)
    if share >= 0.5:
        return [], share
    running_jobs = {key[0].partition(".")[0] for key in in_window}
    stuck = [
        job
        for job in jobs
        if job not in running_jobs and f"{job}.0.0.0" not in done_tasks
    ]
    return stuck, share


def longest_wait_s(record: Record, jobs: list[str], now_s: float) -> float:
    accepted_s: dict[str, float] = {}
    for at_s, row in record.of("submitted"):
        if row["status"] == 200:
            accepted_s.setdefault(str(row["job"]), at_s)
    started_s: dict[str, float] = {}
    for at_s, row in record.of("start"):
        started_s.setdefault(row["task"].partition(".")[0], at_s)
    return max(started_s.get(job, now_s) - accepted_s[job] for job in jobs)


def main() -> int:
    record = Record(FOLDER / "record.txt")
    cluster = Cluster(record, ENTRY_COUNT, RUNNER_COUNT)
    try:
        cluster.start()
        time.sleep(3)
        start_s = record.now_s()
        record.add("traffic-begins")
        submit(cluster, "checks", f"{0xD000:016x}", long_job(), "long")
        threading.Thread(
            target=ordinary_client, args=(cluster, start_s), daemon=True
        ).start()
        if HAS_TROUBLE:
            for number, at_s in enumerate(GANGS_S):
                sleep_until(record, start_s + at_s)
                for index in range(GANGS_AT_ONCE):
                    job_id = f"{0xE000 + 16 * number + index:016x}"
                    submit(cluster, "plans", job_id, gang_job(), "gang")
        sleep_until(record, start_s + END_OF_TRAFFIC_S)
        record.add("traffic-ends")
        long_starts = Counter(
            row["runner"]
            for _, row in record.of("start")
            if cpu_of(row["task"]) == LONG_CPU
        )
        if len(long_starts) < RUNNER_COUNT:
            return COULD_NOT_RUN
        sleep_until(record, start_s + END_OF_TRAFFIC_S + FINISH_S)
        from_s = record.now_s()
        jobs = accepted_jobs(record, "ordinary")
        time.sleep(WINDOW_S)
        stuck, share = stuck_jobs(record, jobs, from_s)
        for job in stuck:
            record.add("stuck", job=job)
        record.add(
            "result",
            accepted=len(jobs),
            gangs=len(accepted_jobs(record, "gang")),
            stuck=len(stuck),
            cpu_share=round(share, 2),
            longest_wait_s=round(
                longest_wait_s(record, jobs, record.now_s()), 1
            ),
        )
        return 1 if stuck else 0
    finally:
        cluster.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
