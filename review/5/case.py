"""A job with many small tasks, between ordinary jobs.

With ``TROUBLE=0`` the same tasks are handed in as several smaller jobs.
"""

from __future__ import annotations

import threading
import time

from standin.runner import Runner
from standin.system import SERVICE
from standin.system import Client
from standin.system import System
from standin.system import job_id
from standin.system import main
from standin.system import route


LARGE_PREFIX = "/term-roster/"
SMALL_PREFIX = "/seat-check/"
TASKS = 9_500
PARTS = 10
TASK_S = 0.15
MAX_PLAY_S = 70.0
FINISH_S = 14.0
IDLE_S = 3.0
SMALL = {"spec": "s", "steps": [{"count": 2, "cpu": 2800, "mem-mb": 5700}]}


def large_job(count):
    return {
        "spec": "large",
        "steps": [
            {"count": count, "cpu": 500, "mem-mb": 64, "estimate-ms": 150}
        ],
    }


def play(folder, record, has_trouble):
    system = System(folder, 3, record)
    try:
        system.configure(
            [
                route("term-roster", LARGE_PREFIX, priority=1),
                route("seat-check", SMALL_PREFIX, priority=0, attempts=3),
            ]
        )
        runners = [
            Runner(
                system.platform_ip, f"i-{number}", SERVICE, system.store,
                f"r1-{number % 2}", lambda _: TASK_S, lambda _: None,
                zone=f"z{1 + number % 3}",
            )
            for number in range(8)
        ]
        system.start()
        record(f"the leader is {system.leader().name}")
        client = Client(system)
        accepted = {}
        parts = 1 if has_trouble else PARTS
        for number in range(parts):
            name = job_id(5_000 + number)
            count = TASKS // parts
            if client.submit(LARGE_PREFIX, name, large_job(count)) == 200:
                accepted[name] = count
        until_s = time.monotonic() + MAX_PLAY_S
        number = 0

        def done_count():
            return sum(
                event == "done"
                for runner in runners
                for _, _, event, _ in list(runner.runs)
            )

        while time.monotonic() < until_s and not system.store.refused_sizes:
            if done_count() >= TASKS:
                break
            number += 1
            name = job_id(number)
            if client.submit(SMALL_PREFIX, name, SMALL) == 200:
                accepted[name] = 2
            record(f"{done_count()} tasks are done so far")
            time.sleep(0.5)
        for _ in range(8):
            number += 1
            name = job_id(number)
            if client.submit(SMALL_PREFIX, name, SMALL) == 200:
                accepted[name] = 2
            time.sleep(0.5)
        record("the traffic has ended")
        time.sleep(FINISH_S)
        begun_s = time.monotonic()
        time.sleep(IDLE_S)
        runs = [run for runner in runners for run in runner.runs]
        done = {}
        for task in {task for task, _, event, _ in runs if event == "done"}:
            name = task.partition(".")[0]
            done[name] = done.get(name, 0) + 1
        busy = {
            task.partition(".")[0]
            for runner in runners
            for task in runner.active()
        } | {task.partition(".")[0] for task, _, _, at in runs if at > begun_s}
        idle = [
            name
            for name, count in accepted.items()
            if done.get(name, 0) < count and name not in busy
        ]
        for name in idle:
            record(
                f"job {name}: {done.get(name, 0)} of {accepted[name]} tasks "
                f"are done, and nothing ran for {IDLE_S:.0f} s at the end"
            )
        record(f"the store refused records of {system.store.refused_sizes}")
        record(
            f"{len(accepted)} jobs were accepted; {len(idle)} of them have "
            "tasks to run and nothing running"
        )
        for instance in system.instances:
            text = instance.text()
            record(
                f"{instance.name}: running {instance.is_running()}, claims "
                f"{text.count('leadership-claimed')}, lost "
                f"{text.count('event=leadership-lost')}"
            )
        return bool(idle)
    finally:
        system.close()


main(play)
