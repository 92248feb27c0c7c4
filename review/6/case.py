"""One lost leader, with recurring jobs open, leaves nobody to lead."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time

from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER / "standin"))

from cluster import COULD_NOT_RUN  # noqa: E402
from cluster import Cluster  # noqa: E402
from cluster import Entry  # noqa: E402
from cluster import Record  # noqa: E402


HAS_TROUBLE = os.environ["TROUBLE"] != "0"
# The users' small deployments: 7 machines, 24 runners.
ENTRY_COUNT = 7
RUNNER_COUNT = 24
RUNNER_CPU = 16_000
ATTEMPTS = 5
# Seconds after the instances are ready.
RECURRING_S = 2.0
RECURRING_INTERVAL_S = 0.5
RECURRING_COUNT = 23
KILL_S = 17.0
RESTART_S = 3.5
END_OF_TRAFFIC_S = 32.0
FINISH_S = 14.0
WINDOW_S = 3.0
ORDINARY_INTERVAL_S = 0.5
TASK_CPU = 500
TASKS = 2


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


def hand_in_recurring(cluster: Cluster) -> None:
    """Hand in jobs of 10 tasks a minute, 2,000 times, from in an hour on."""
    for number in range(RECURRING_COUNT):
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
        time.sleep(RECURRING_INTERVAL_S)


def leader(cluster: Cluster) -> Entry | None:
    """Return the instance whose record as the leader is stored."""
    stored = cluster.leader_record()
    name = stored[1] if stored else ""
    return next((e for e in cluster.entries if e.name == name), None)


def watch(cluster: Cluster, memory_mb: dict[str, int]) -> None:
    """Record each claim of leadership, and the most memory of each process."""
    epoch = None
    while True:
        stored = cluster.leader_record()
        if stored and stored[0] != epoch:
            epoch = stored[0]
            cluster.record.add("leader", epoch=epoch, entry=stored[1])
        for entry in cluster.entries:
            most = max(memory_mb.get(entry.name, 0), entry.memory_mb())
            memory_mb[entry.name] = most
        time.sleep(0.1)


def kill_leader(cluster: Cluster) -> None:
    """Kill the leader once; the platform starts it again."""
    killed = leader(cluster)
    if killed is None:
        return
    killed.signal(signal.SIGKILL)
    cluster.record.add("killed", entry=killed.name)
    time.sleep(RESTART_S)
    killed.start()
    cluster.record.add("started-again", entry=killed.name)


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
        key
        for key, (start, end) in runs.items()
        if start < until_s and end > from_s
    ]
    if len(in_window) * TASK_CPU >= RUNNER_COUNT * RUNNER_CPU / 2:
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
    memory_mb: dict[str, int] = {}
    try:
        cluster.start()
        time.sleep(3)
        start_s = record.now_s()
        record.add("traffic-begins")
        for target, args in (
            (watch, (cluster, memory_mb)),
            (ordinary_client, (cluster, start_s)),
        ):
            threading.Thread(target=target, args=args, daemon=True).start()
        sleep_until(record, start_s + RECURRING_S)
        hand_in_recurring(cluster)
        sleep_until(record, start_s + KILL_S)
        recurring_count = len(accepted_jobs(record, "recurring"))
        record.add("recurring-jobs", accepted=recurring_count)
        if recurring_count < RECURRING_COUNT:
            return COULD_NOT_RUN
        if HAS_TROUBLE:
            kill_leader(cluster)
        sleep_until(record, start_s + END_OF_TRAFFIC_S)
        record.add("traffic-ends")
        sleep_until(record, start_s + END_OF_TRAFFIC_S + FINISH_S)
        from_s = record.now_s()
        jobs = accepted_jobs(record, "ordinary")
        time.sleep(WINDOW_S)
        stuck = stuck_jobs(record, jobs, from_s)
        for job in stuck:
            record.add("stuck", job=job)
        shown = ask(cluster, stuck[0]) if stuck else None
        record.add(
            "result",
            accepted=len(jobs),
            stuck=len(stuck),
            first_is_shown_as=shown,
            leaders=len(record.of("leader")),
            most_memory_mb=max(memory_mb.values()),
        )
        return 1 if stuck else 0
    finally:
        cluster.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
