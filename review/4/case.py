"""Runners crash now and then, one of seven at a time, while jobs run.

No task fails on its own. With ``TROUBLE=0`` no runner crashes.
"""

from __future__ import annotations

import json
import random
import threading
import time

from standin.runner import Runner
from standin.system import SERVICE
from standin.system import Client
from standin.system import System
from standin.system import job_id
from standin.system import main
from standin.system import route


PREFIX = "/term-roster/"
RUNNERS = 7
# Durations of the tasks of a job; the sheet has a mean of 6.2 s, 16 s at most.
TASK_S = (4.0, 6.2, 9.0, 14.0)
PAUSE_S = 1.6
# Each crash takes one of seven runners (14 in 100) for a second; the sheet of
# the site has a share of 0.14.
CRASHES = 24
CRASH_PAUSE_S = 2.0
DOWN_S = 1.0
JOB = {
    "spec": "s",
    "steps": [
        {"count": 6, "cpu": 9000, "mem-mb": 26000, "estimate-ms": 6000}
    ],
}


def task_s(name):
    """Return how long the tasks of a job take, by the job's number."""
    return TASK_S[int(name[:4], 16) % len(TASK_S)]


def play(folder, record, has_trouble):
    system = System(folder, 3, record)
    seed = random.randrange(1 << 30)
    chosen = random.Random(seed)
    record(f"seed of the choice of runners: {seed}")
    try:
        system.configure([route("term-roster", PREFIX, attempts=4)])
        count = [0]
        runners = []
        retired = []

        def new_runner(place, port=0):
            count[0] += 1
            return Runner(
                system.platform_ip, f"i-{count[0]:04x}", SERVICE,
                system.store, f"r1-{place % 2}", task_s, record,
                zone=f"z{1 + place % 3}", port=port,
            )

        runners += [new_runner(place) for place in range(RUNNERS)]
        system.start()
        record(f"the leader is {system.leader().name}")
        client = Client(system)
        accepted = []
        is_over = threading.Event()

        def hand_in():
            while not is_over.is_set():
                name = job_id(len(accepted))
                if client.submit(PREFIX, name, JOB) == 200:
                    accepted.append(name)
                is_over.wait(PAUSE_S)

        thread = threading.Thread(target=hand_in, daemon=True)
        thread.start()
        time.sleep(3.0)
        for _ in range(CRASHES):
            began_s = time.monotonic()
            if has_trouble:
                place = chosen.randrange(RUNNERS)
                retired.append(runners[place])
                runners[place].crash()
                time.sleep(DOWN_S)
                # The next life is at the same address, under another id.
                port = int(retired[-1].address.partition(":")[2])
                runners[place] = new_runner(place, port)
                # The entry lapses after three heartbeats of silence.
                threading.Timer(3.5, retired[-1].forget).start()
            time.sleep(max(0, began_s + CRASH_PAUSE_S - time.monotonic()))
        is_over.set()
        thread.join(5.0)
        record("the traffic has ended")
        time.sleep(14.0)
        runs = [run for one in runners + retired for run in one.runs]
        broken = []
        for name in accepted:
            state = client.state(PREFIX, name)
            if state not in ("failed", "cancelled"):
                continue
            ends = sorted(
                (at, task, run, event)
                for task, run, event, at in runs
                if task.startswith(f"{name}.") and event != "start"
            )
            failures = [end for end in ends if end[3] == "failed"]
            if not failures:
                broken.append(name)
                counts = {}
                for _, _, _, event in ends:
                    counts[event] = counts.get(event, 0) + 1
                record(
                    f"job {name} is shown as {state}; none of its runs ended "
                    f"failed, the ends are {json.dumps(counts)}"
                )
        record(
            f"{len(accepted)} jobs were accepted, {len(broken)} are shown as "
            "failed without a run that failed"
        )
        return bool(broken)
    finally:
        system.close()


main(play)
