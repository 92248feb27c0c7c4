"""Recurring jobs that are due later keep everybody's work from running."""

from __future__ import annotations

import os
import sys
import threading
import time

from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER / "standin"))

from cluster import Cluster  # noqa: E402
from cluster import Entry  # noqa: E402
from cluster import Record  # noqa: E402


HAS_TROUBLE = os.environ["TROUBLE"] != "0"
# The users' small deployments: 6 machines of 300 MB, 24 runners.
ENTRY_COUNT = 6
RUNNER_COUNT = 24
MEMORY_MB = 300
RESTART_S = 1.0
ATTEMPTS = 5
# Seconds after the instances are ready.
CROWD_S = 10.0
CROWD_INTERVAL_S = 0.25
CROWD_COUNT = 40
END_OF_TRAFFIC_S = 45.0
FINISH_S = 14.0
WINDOW_S = 3.0
ORDINARY_INTERVAL_S = 0.5
TASK_CPU = 500
TASKS = 2


def watch_memory(cluster: Cluster) -> None:
    """Kill what exceeds its machine's memory, and start again what ended."""

    def restart(entry: Entry) -> None:
        time.sleep(RESTART_S)
        entry.start()

    while True:
        for entry in cluster.entries:
            memory_mb = entry.memory_mb()
            if memory_mb > MEMORY_MB:
                entry.kill()
                cluster.record.add(
                    "killed-over-memory", entry=entry.name, mb=memory_mb
                )
                threading.Thread(
                    target=restart, args=(entry,), daemon=True
                ).start()
        time.sleep(0.05)


def submit(cluster: Cluster, job_id: str, body: object, who: str) -> None:
    """Hand a job in at the ready instances, in turn, as clients retry."""
    for attempt in range(ATTEMPTS):
        ready = [entry for entry in cluster.entries if entry.is_ready()]
        entries = ready or cluster.entries
        entry = entries[(int(job_id, 16) + attempt) % len(entries)]
        status, _ = entry.call("POST", job_id, body)
        cluster.record.add(
            "submitted", who=who, job=job_id, entry=entry.name, status=status
        )
        if status not in (0, 502, 503, 504, 429):
            return
        time.sleep(0.5)


def ordinary_client(cluster: Cluster, start_s: float) -> None:
    number = 0
    while cluster.record.now_s() < start_s + END_OF_TRAFFIC_S:
        number += 1
        step = {"count": TASKS, "cpu": TASK_CPU, "mem-mb": 64}
        body = {"spec": "300", "steps": [step]}
        threading.Thread(
            target=submit,
            args=(cluster, f"{0xA000 + number:016x}", body, "ordinary"),
            daemon=True,
        ).start()
        time.sleep(ORDINARY_INTERVAL_S)


def recurring_client(cluster: Cluster) -> None:
    """Hand in jobs of 10 tasks a minute, 2,000 times, from in an hour on."""
    for number in range(CROWD_COUNT):
        body = {
            "spec": "300",
            "run-count": 2_000,
            "interval-ms": 60_000,
            "start-at-ms": int(time.time() * 1000) + 3_600_000,
            "steps": [{"count": 10, "cpu": 500, "mem-mb": 64}],
        }
        threading.Thread(
            target=submit,
            args=(cluster, f"{0xB000 + number:016x}", body, "recurring"),
            daemon=True,
        ).start()
        time.sleep(CROWD_INTERVAL_S)


def sleep_until(record: Record, at_s: float) -> None:
    time.sleep(max(0.0, at_s - record.now_s()))


def accepted_jobs(record: Record) -> list[str]:
    return sorted(
        {
            str(row["job"])
            for _, row in record.of("submitted")
            if row["who"] == "ordinary" and row["status"] == 200
        }
    )


def stuck_jobs(record: Record, jobs: list[str], from_s: float) -> list[str]:
    """Return the jobs of which nothing ran for 3 s though there was room."""
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
        key for key, (start, end) in runs.items() if start < until_s and end > from_s
    ]
    half = RUNNER_COUNT * 16_000 / 2
    if len(in_window) * TASK_CPU >= half:
        return []
    running_jobs = {key[0].partition(".")[0] for key in in_window}
    return [
        job
        for job in jobs
        if job not in running_jobs
        and any(f"{job}.0.0.{n}" not in done_tasks for n in range(TASKS))
    ]


def ask(cluster: Cluster, job_id: str) -> object:
    """Return the state of a job, or None if nobody tells it in 3 s."""
    deadline_s = time.monotonic() + 3.0
    while time.monotonic() < deadline_s:
        ready = [entry for entry in cluster.entries if entry.is_ready()]
        for entry in ready or cluster.entries:
            status, body = entry.call("GET", job_id, None, 1.0)
            if status == 200:
                return body["state"]
            if status == 410:
                return "unknown"
        time.sleep(0.1)
    return None


def main() -> int:
    record = Record(FOLDER / "record.txt")
    cluster = Cluster(record, ENTRY_COUNT, RUNNER_COUNT)
    try:
        cluster.start()
        time.sleep(3)
        start_s = record.now_s()
        record.add("traffic-begins")
        for target, args in (
            (watch_memory, (cluster,)),
            (ordinary_client, (cluster, start_s)),
        ):
            threading.Thread(target=target, args=args, daemon=True).start()
        sleep_until(record, start_s + CROWD_S)
        if HAS_TROUBLE:
            recurring_client(cluster)
        sleep_until(record, start_s + END_OF_TRAFFIC_S)
        record.add("traffic-ends")
        sleep_until(record, start_s + END_OF_TRAFFIC_S + FINISH_S)
        from_s = record.now_s()
        jobs = accepted_jobs(record)
        time.sleep(WINDOW_S)
        stuck = stuck_jobs(record, jobs, from_s)
        for job in stuck:
            record.add("stuck", job=job)
        shown = ask(cluster, stuck[0]) if stuck else None
        kills = [row["entry"] for _, row in record.of("killed-over-memory")]
        record.add(
            "result",
            accepted=len(jobs),
            stuck=len(stuck),
            first_is_shown_as=shown,
            kills={name: kills.count(name) for name in sorted(set(kills))},
            leader=cluster.leader_record(),
        )
        return 1 if stuck else 0
    finally:
        cluster.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
