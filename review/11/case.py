"""A few recurring jobs that are overdue; ordinary jobs beside them."""

from __future__ import annotations

import json
import sys
import time

from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cluster3 import FINISH_S  # noqa: E402
from cluster3 import check_finished  # noqa: E402
from cluster3 import idle_s  # noqa: E402
from cluster3 import ordinary_job  # noqa: E402
from cluster3 import play  # noqa: E402


RECURRING_COUNT = 12
OCCURRENCES = 1_000
TRAFFIC_S = 40.0
INTERVAL_S = 0.5


def recurring_job(number: int) -> tuple[str, dict]:
    """Return a job that recurs every 100 ms, and was first due 100 s ago."""
    step = {"count": 1, "cpu": 1_000, "mem-mb": 256, "estimate-ms": 300}
    return (
        f"{0xB000000000000000 + number:016x}",
        {
            "spec": json.dumps({"ms": 300}), "steps": [step], "run-count": OCCURRENCES,
            "start-at-ms": int(time.time() * 1000) - OCCURRENCES * 100,
            "interval-ms": 100,
        },
    )


def run(cluster, has_trouble: bool) -> int:
    record = cluster.record
    warm = [ordinary_job(number) for number in range(3)]
    for job, body in warm:
        cluster.submit(job, body)
    time.sleep(3)
    if any(cluster.state(job) != "completed" for job, _ in warm):
        record.say("the deployment does not run jobs even before")
        return 2
    if has_trouble:
        for number in range(RECURRING_COUNT):
            job, body = recurring_job(number)
            record.say(f"recurring {job}: accepted {cluster.submit(job, body)}")
    accepted, sent = [], 0
    until_s = time.time() + TRAFFIC_S
    while time.time() < until_s:
        job, body = ordinary_job(100 + sent)
        sent += 1
        if cluster.submit(job, body):
            accepted.append(job)
        time.sleep(INTERVAL_S)
    time.sleep(FINISH_S)
    free_s = idle_s(cluster)
    lost = check_finished(cluster, accepted)
    claims = cluster.count_log("leadership-claimed")
    record.say(
        f"{sent} ordinary jobs sent, {len(accepted)} accepted, {len(lost)} of "
        f"them lost; all runners idle for {free_s:.1f} s; "
        f"{claims} claims of leadership"
    )
    for line in lost[:5]:
        record.say(f"lost: {line}")
    return 1 if lost and free_s >= 3 else 0


if __name__ == "__main__":
    case = Path(__file__).resolve().parent
    sys.exit(play(case, run, instances=6))
