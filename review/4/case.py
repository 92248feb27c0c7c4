"""Routes are removed by new configurations while jobs are handed in.

Every second one is replaced by a route of another name at the same path, so
that its jobs can still be asked for. Only jobs that were accepted count. With
``TROUBLE=0`` the configurations change a time-out and keep all routes.
"""

from __future__ import annotations

import threading
import time

from standin.runner import Runner
from standin.system import SERVICE
from standin.system import Client
from standin.system import System
from standin.system import call
from standin.system import job_id
from standin.system import main
from standin.system import route


ROUTES = 8
TASK_S = 0.4
CLIENTS = 4
PAUSE_S = 0.2
# Before each removal jobs are handed in for this long, and after it too.
GAP_S = 1.2
FINISH_S = 14.0
IDLE_S = 3.0
JOB = {"spec": "s", "steps": [{"count": 2, "cpu": 2000, "mem-mb": 1000}]}


def play(folder, record, has_trouble):
    system = System(folder, 3, record)
    try:
        routes = [
            route(f"r-{number}", f"/queue{number}/")
            for number in range(ROUTES)
        ]
        base = route("r-base", "/base/")
        replacements = []
        system.configure([base, *routes])
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
        accepted = {}
        target = {"prefix": "/queue0/", "is_over": False}
        lock = threading.Lock()

        def hand_in(number):
            # Each job is sent once: what is not accepted does not count.
            instance = system.instances[number % len(system.instances)]
            while not target["is_over"]:
                prefix = target["prefix"]
                name = job_id(number)
                try:
                    status, _ = call(
                        instance.front, "POST", f"{prefix}{name}", JOB
                    )
                except OSError as error:
                    status = error
                record(
                    f"client: POST {prefix}{name} at {instance.name}: {status}"
                )
                if status == 200:
                    with lock:
                        accepted[name] = prefix
                time.sleep(PAUSE_S)

        threads = [
            threading.Thread(target=hand_in, args=(number,), daemon=True)
            for number in range(CLIENTS * 3)
        ]
        for thread in threads:
            thread.start()
        for number in range(ROUTES):
            target["prefix"] = f"/queue{number}/"
            time.sleep(GAP_S)
            if has_trouble:
                if number % 2:
                    prefix = f"/queue{number}/"
                    replacements.append(route(f"r-{number}-new", prefix))
                system.configure([base, *replacements, *routes[number + 1 :]])
            else:
                changed = {"timeout-ms": 2900 - number}
                system.configure(
                    [base, *({**one, **changed} for one in routes)]
                )
            time.sleep(0.2)
        target["is_over"] = True
        for thread in threads:
            thread.join(5.0)
        record("the traffic has ended")
        time.sleep(FINISH_S + IDLE_S)
        until_s = time.monotonic() - IDLE_S
        runs = [run for runner in runners for run in runner.runs]
        late = {
            task.partition(".")[0] for task, _, _, at in runs if at > until_s
        }
        done = [task for task, _, event, _ in runs if event == "done"]
        count_by_job = {}
        for task in set(done):
            name = task.partition(".")[0]
            count_by_job[name] = count_by_job.get(name, 0) + 1
        active = {
            task.partition(".")[0]
            for runner in runners
            for task in runner.active()
        }
        idle = [
            name
            for name in accepted
            if count_by_job.get(name, 0) < 2
            and name not in active
            and name not in late
        ]
        for name in idle:
            record(
                f"job {name} on {accepted[name]} was accepted with 200; "
                f"{count_by_job.get(name, 0)} of its 2 tasks are done and "
                f"nothing has run for {IDLE_S:.0f} s"
            )
        replaced = {one["path-prefix"] for one in replacements}
        gone = 0
        for name in idle:
            for instance in system.instances:
                if accepted[name] not in replaced:
                    break
                found = client.state(accepted[name], name, [instance])
                gone += found == 410
        record(f"{len(accepted)} jobs were accepted, {len(idle)} never ran")
        record(f"{gone} times an instance said 410 for one of them")
        for instance in system.instances:
            count = instance.text().count("queue-missing")
            record(f"{instance.name}: {count} times queue-missing")
        return bool(idle)
    finally:
        system.close()


main(play)
