"""Stand-in for a runner, as the section on running tasks describes it.

Tasks of all jobs run for ``task_s(name)`` seconds and end ``done``. Gangs,
checkpoints and copies are not played.
"""

from __future__ import annotations

import json
import threading
import time

from .web import Answer
from .web import WebServer


BEAT_S = 1.5
MAX_HOLD_S = 10.0
STOP_S = 0.1
ENDS_AT_A_TIME = 500
MAX_WAIT_S = 2.0


class Runner(WebServer):
    """One life of a machine that runs tasks.

    :param task_s: takes the name of a task; returns its duration.
    :param record: called with a line for each thing that happens.
    :ivar born_ms: Unix time of the start; None where ids are not used again.
    :ivar began_s: when this life was first seen, by this process's clock.
    :ivar uptime_ms: what the runner's clock showed then.
    :ivar runs: (task, run, event, time) of all starts and ends.
    :ivar noted: (task, run) of the ends that the system has taken note of.
    """

    born_ms = None
    # Runners have been up for some time when a case begins.
    uptime_ms = 480_000

    def __init__(
        self,
        ip,
        runner_id,
        service,
        store,
        rack,
        task_s,
        record,
        cpu=32_000,
        zone="z1",
        port=0,
        kind="a",
    ):
        self.runner_id = runner_id
        self.began_s = time.monotonic()
        self.runs = []
        self.noted = set()
        self._service = service
        self._store = store
        self._rack = rack
        self._zone = zone
        self._cpu = cpu
        self._kind = kind
        self._task_s = task_s
        self._record = record
        self._changed = threading.Condition()
        self._token = 0
        self._lease_end_s = 0.0
        self._running = {}
        self._stopping = {}
        self._highest_over = {}
        self._ended = []
        self._last_end = 0
        self._beat = 0
        self._is_dead = False
        self.state = "ready"
        super().__init__(ip, port)
        self._send_beat()
        for work in (self._send_beats, self._watch):
            threading.Thread(target=work, daemon=True).start()

    def crash(self):
        """End without a word; everything that runs is gone."""
        with self._changed:
            self._is_dead = True
            lost = [(task, run) for task, (run, _) in self._running.items()]
            self._running.clear()
            self._changed.notify_all()
        for task, run in lost:
            self._note(task, run, "lost with the runner")
        self._record(f"runner {self.runner_id} crashes")
        self.close()

    def forget(self):
        """Have the platform remove the entry of a runner that is gone."""
        self._store.put("keyed.servers", self.runner_id, None)

    def active(self):
        with self._changed:
            return {task: run for task, (run, _) in self._running.items()}

    def handle(self, method, path, query, headers, body):
        if self._is_dead:
            return None
        expected = headers.get("X-Magnoliapitch-Expect-Instance")
        if expected and expected != self.runner_id:
            return Answer(421)
        try:
            call = json.loads(body)
        except ValueError:
            return Answer(400)
        with self._changed:
            token = call.get("fencing-token", 0)
            if token < self._token:
                return self._answer(409, reason="fence")
            self._token = token
            if path == "/run-start":
                return self._start(call)
            if path == "/run-stop":
                return self._stop(call)
            if path == "/hold":
                return self._hold(call)
        return Answer(404)

    def _start(self, call):
        task, run = call["task"], call["run-id"]
        now_s = time.monotonic()
        if self._clock_ms() > call["deadline-ms"]:
            return self._answer(409, reason="late")
        self._extend(call["deadline-ms"])
        if run <= self._highest_over.get(task, 0):
            return self._answer(409, reason="old")
        known = self._running.get(task)
        if known is not None and known[0] == run:
            return self._answer(200)
        if known is not None:
            return self._answer(409, reason="old")
        self._running[task] = (run, now_s + self._task_s(task))
        self._note(task, run, "start")
        self._changed.notify_all()
        return self._answer(200)

    def _stop(self, call):
        task, run = call["task"], call["run-id"]
        known = self._running.get(task)
        if known is not None and known[0] == run:
            self._stopping.setdefault(task, time.monotonic() + STOP_S)
        self._highest_over[task] = max(self._highest_over.get(task, 0), run)
        self._changed.notify_all()
        return self._answer(200)

    def _hold(self, call):
        acknowledged = call.get("ack-seq", 0)
        for row in self._ended:
            if row[0] <= acknowledged:
                self.noted.add((row[1], row[2]))
                self._record(
                    f"runner {self.runner_id}: end {row[0]} of {row[1]} run "
                    f"{row[2]} {row[3]} is taken note of"
                )
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        if "deadline-ms" in call:
            self._extend(call["deadline-ms"])
        wait_s = min(call.get("wait-ms", 0) / 1_000, MAX_WAIT_S)
        self._changed.wait_for(lambda: self._ended or self._is_dead, wait_s)
        if self._is_dead:
            return None
        running = [
            [task, run, "", 50, 100]
            for task, (run, _) in self._running.items()
        ]
        ended = self._ended[:ENDS_AT_A_TIME]
        return self._answer(200, running=running, **{"ended-runs": ended})

    def _extend(self, deadline_ms):
        longest_s = time.monotonic() + MAX_HOLD_S
        left_s = (deadline_ms - self._clock_ms()) / 1_000
        wanted_s = min(time.monotonic() + left_s, longest_s)
        self._lease_end_s = max(self._lease_end_s, wanted_s)

    def _answer(self, status, **fields):
        fields = {**self._born(), **fields}
        return Answer.of({"clock-ms": self._clock_ms(), **fields}, status)

    def _clock_ms(self):
        """Return the runner's own clock, which begins anew with each life."""
        return int((time.monotonic() - self.began_s) * 1_000) + self.uptime_ms

    def _born(self):
        """Return the field that tells one life under an id from the next."""
        return {} if self.born_ms is None else {"born": self.born_ms}

    def _watch(self):
        while not self._is_dead:
            with self._changed:
                now_s = time.monotonic()
                for task, until_s in list(self._stopping.items()):
                    if until_s <= now_s:
                        del self._stopping[task]
                        if task in self._running:
                            self._end(task, "stopped")
                for task, (_, until_s) in list(self._running.items()):
                    if until_s <= now_s:
                        self._end(task, "done")
                if self._running and now_s > self._lease_end_s:
                    for task in list(self._running):
                        self._end(task, "lapsed")
                self._changed.wait(0.01)

    def _end(self, task, how):
        run, _ = self._running.pop(task)
        self._stopping.pop(task, None)
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        self._highest_over[task] = max(self._highest_over.get(task, 0), run)
        self._note(task, run, how)
        self._changed.notify_all()

    def _note(self, task, run, event):
        self.runs.append((task, run, event, time.monotonic()))
        self._record(f"runner {self.runner_id}: {task} run {run} {event}")

    def _send_beats(self):
        while not self._is_dead:
            time.sleep(BEAT_S)
            if not self._is_dead:
                self._send_beat()

    def _send_beat(self):
        self._beat += 1
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "capacity": {"cpu": self._cpu, "mem-mb": 131_072, "gpu": 0},
            "labels": [self._kind, self._rack],
            "clock-ms": self._clock_ms(),
            **self._born(),
            "seq": self._beat,
        }
        self._store.put("keyed.servers", self.runner_id, entry)
