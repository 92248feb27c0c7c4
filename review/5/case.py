"""Tasks of a lasting job end on their own, as ``done``.

With ``TROUBLE=0`` no task of the lasting jobs ends.
"""

from __future__ import annotations

import time

from standin.runner import Runner
from standin.system import SERVICE
from standin.system import CannotRun
from standin.system import Client
from standin.system import System
from standin.system import job_id
from standin.system import main
from standin.system import route


PREFIX = "/route-watch/"
TASKS = 8
# One task of the first job ends after this time, all of the second.
ENDS_AFTER_S = 4.0
FOREVER_S = 1_000.0
# The rule holds from 6 s after the last run of a task, for a span of 3 s with
# 4 s before it without a disruption.
AFTER_S = 6.0
IDLE_S = 3.0
SLACK_S = 3.0
JOB = {
    "spec": "watch",
    "steps": [
        {"count": TASKS, "cpu": 1000, "mem-mb": 500, "long-running": True}
    ],
}


def play(folder, record, has_trouble):
    system = System(folder, 3, record)
    first, second = job_id(1), job_id(2)

    def task_s(name):
        if not has_trouble:
            return FOREVER_S
        if name.startswith(second) or name == f"{first}.0.0.3":
            return ENDS_AFTER_S
        return FOREVER_S

    try:
        system.configure([route("route-watch", PREFIX, attempts=3)])
        runners = [
            Runner(
                system.platform_ip,
                f"i-{number}",
                SERVICE,
                system.store,
                f"r1-{number % 2}",
                task_s,
                record,
                zone=f"z{1 + number % 3}",
                cpu=16_000,
            )
            for number in range(6)
        ]
        system.start()
        record(f"the leader is {system.leader().name}")
        client = Client(system)
        for name in (first, second):
            if client.submit(PREFIX, name, JOB) != 200:
                raise CannotRun("the job was not accepted")
        time.sleep(ENDS_AFTER_S + AFTER_S + IDLE_S + SLACK_S)
        states = {name: client.state(PREFIX, name) for name in (first, second)}
        now_s = time.monotonic()
        active = {task for runner in runners for task in runner.active()}
        last_s = {}
        for runner in runners:
            for task, _, _, at_s in runner.runs:
                last_s[task] = max(last_s.get(task, 0), at_s)
        down = []
        for name in (first, second):
            for position in range(TASKS):
                task = f"{name}.0.0.{position}"
                if task in active:
                    continue
                if task not in last_s:
                    raise CannotRun(f"{task} was not started")
                down_s = now_s - last_s[task]
                record(f"{task} has nothing running for {down_s:.1f} s")
                if down_s > AFTER_S + IDLE_S:
                    down.append(task)
        record(
            f"nobody has cancelled the jobs; they are shown as {states}; "
            f"{len(down)} of {2 * TASKS} tasks that last are down"
        )
        shown_as_over = [
            name
            for name, state in states.items()
            if state in ("completed", "failed", "cancelled", 410, None)
        ]
        return bool(down or shown_as_over)
    finally:
        system.close()


main(play)
