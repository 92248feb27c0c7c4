"""One job of steps that run one after the other.

Each step lists all earlier ones in ``depends-on``. Ordinary jobs are handed in
all the while. With ``TROUBLE=0`` each step lists only the one before it, which
is the same order of work.
"""

from __future__ import annotations

import time

from standin.runner import Runner
from standin.system import SERVICE
from standin.system import Client
from standin.system import System
from standin.system import job_id
from standin.system import main
from standin.system import route


PREFIX = "/seat-check/"
STEPS = 26
TASK_S = 0.3
CALM_S = 4.0
BUSY_S = 20.0
# ``finish_s`` of the sheet, after which jobs are asked for, and the span for
# which a job must not be idle then.
FINISH_S = 14.0
IDLE_S = 3.0
SMALL = {"spec": "s", "steps": [{"count": 2, "cpu": 2800, "mem-mb": 5700}]}


def staged_job(has_trouble):
    reach = STEPS if has_trouble else 1
    steps = []
    for number in range(STEPS):
        step = {"count": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 300}
        earlier = list(range(max(0, number - reach), number))
        if earlier:
            step["depends-on"] = earlier
        steps.append(step)
    return {"spec": "staged", "steps": steps}


def play(folder, record, has_trouble):
    system = System(folder, 3, record)
    try:
        system.configure([route("seat-check", PREFIX, priority=0, attempts=3)])
        runners = [
            Runner(
                system.platform_ip,
                f"i-{number}",
                SERVICE,
                system.store,
                f"r1-{number % 2}",
                lambda _: TASK_S,
                record,
                zone=f"z{1 + number % 3}",
            )
            for number in range(6)
        ]
        system.start()
        record(f"the leader is {system.leader().name}")
        client = Client(system)
        accepted = []

        def hand_in_for(duration_s):
            until_s = time.monotonic() + duration_s
            while time.monotonic() < until_s:
                name = job_id(len(accepted))
                if client.submit(PREFIX, name, SMALL) == 200:
                    accepted.append(name)
                time.sleep(0.4)

        hand_in_for(CALM_S)
        staged = job_id(9_999)
        if client.submit(PREFIX, staged, staged_job(has_trouble)) == 200:
            accepted.append(staged)
        hand_in_for(BUSY_S)
        record("the traffic has ended")
        time.sleep(FINISH_S)
        begun_s = time.monotonic()
        runs = []
        while time.monotonic() < begun_s + IDLE_S:
            time.sleep(0.05)
        for runner in runners:
            runs += runner.runs
        starts = {}
        for task, _, event, _ in runs:
            if event == "start":
                starts.setdefault(task.partition(".")[0], []).append(task)
        active = {
            task.partition(".")[0]
            for runner in runners
            for task in runner.active()
        }
        ends = {task for task, _, event, _ in runs if event == "done"}
        idle = []
        for name in accepted:
            count = STEPS if name == staged else 2
            done = sum(task.startswith(f"{name}.") for task in ends)
            began_late = any(
                task.startswith(f"{name}.") and at_s >= begun_s
                for task, _, _, at_s in runs
            )
            if done < count and name not in active and not began_late:
                idle.append(name)
                record(
                    f"job {name}: {done} of {count} tasks are done, and "
                    f"nothing ran for {IDLE_S:.0f} s at the end"
                )
        record(
            f"{len(accepted)} jobs were accepted; {len(idle)} of them have "
            "tasks to run and nothing running"
        )
        for name in idle[:3]:
            client.state(PREFIX, name)
        for instance in system.instances:
            record(
                f"{instance.name}: running {instance.is_running()}, "
                f"claims {instance.text().count('leadership-claimed')}"
            )
        return bool(idle)
    finally:
        system.close()


main(play)
