"""Process of one life of a worker of the soak."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time

from pathlib import Path
from typing import Any
from typing import NamedTuple

import urllib3

from tests.platform.platform_standin import HttpServer
from tests.platform.platform_standin import Reply
from tests.platform.platform_standin import encode_record
from tests.platform.platform_standin import json_reply
from tests.soak.gangs import GangMessage
from tests.soak.worker_state import Run
from tests.soak.worker_state import WorkerLimits
from tests.soak.worker_state import WorkerState


TICK_S = 0.02
GANG_POLL_S = 0.06
CALL_TIMEOUT_S = 2.0


class WorkerSettings(NamedTuple):
    """Settings of a worker process.

    :param port: on which it listens.
    :param address: at which instances reach it.
    :param clock_rate: speed of its steady clock.
    :param heartbeat_ms: interval of its records in the store.
    """

    worker_id: str
    port: int
    address: str
    store: str
    gangs: str
    history: str
    clock_rate: float
    max_hold_ms: int
    heartbeat_ms: int
    cpu: int
    mem_mb: int
    rack: str
    zone: str
    service: str
    checks_admission: bool


class Worker(HttpServer):
    """Serves the calls of instances and keeps the history on disk."""

    def __init__(self, settings: WorkerSettings) -> None:
        self._settings = settings
        self._condition = threading.Condition()
        self._history = Path(settings.history).open("a")  # noqa: SIM115
        limits = WorkerLimits(
            settings.max_hold_ms,
            settings.cpu,
            settings.mem_mb,
            settings.checks_admission,
        )
        self._state = WorkerState(limits, self._now_ms, self._record)
        self._http = urllib3.PoolManager(retries=False)
        super().__init__(settings.port)

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        expected = headers.get("HTTP_X_MAGNOLIAPITCH_EXPECT_INSTANCE")
        if expected not in (None, self._settings.worker_id):
            return Reply(421)
        request = json.loads(body)
        with self._condition:
            self._state.advance()
            if path == "/run-start":
                return self._reply(*self._state.start(request))
            if path == "/run-stop":
                return self._reply(*self._state.stop(request))
            if path == "/pace":
                return self._reply(200, {})
            return self._hold(request)

    def tick(self) -> None:
        """Notice what has ended."""
        with self._condition:
            self._state.advance()
            if self._state.has_ends:
                self._condition.notify_all()

    def beat(self, number: int) -> None:
        """Write the worker's entry to the store."""
        settings = self._settings
        entry = {
            "service": settings.service,
            "address": settings.address,
            "zone": settings.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": settings.cpu, "mem-mb": settings.mem_mb},
            "labels": ["a", settings.rack],
            "seq": number,
        }
        record = encode_record(settings.worker_id, json.dumps(entry).encode())
        url = f"http://{settings.store}/log-append?topic=keyed.servers&part=0"
        self._call(url, record)

    def share_gangs(self) -> None:
        """Tell other members what happened here, and learn of theirs."""
        with self._condition:
            ended, self._state.ended_members = self._state.ended_members, []
            members = [run for run in self._state.runs.values() if run.gang]
        for run in ended:
            self._tell_gang(run, GangMessage.ENDED)
        for run in members:
            is_due = run.done_ms <= self._now_ms()
            message = GangMessage.DONE if is_due else GangMessage.HERE
            answer = self._tell_gang(run, message)
            if answer is not None:
                with self._condition:
                    self._apply_gang(run, answer["over"], answer["complete"])

    def _tell_gang(self, run: Run, message: GangMessage) -> Any:
        body = [run.gang_key, run.task, run.gang, message.value]
        url = f"http://{self._settings.gangs}/member"
        return self._call(url, json.dumps(body))

    def _apply_gang(self, run: Run, over: str, is_complete: bool) -> None:
        self._state.advance()
        if (run.task, run.number) not in self._state.runs:
            return
        if over:
            self._state.end(run, over, self._now_ms())
        elif is_complete and run.end_kind == "alone":
            run.begin(self._now_ms())

    def _hold(self, request: dict[str, Any]) -> Reply:
        if not self._state.hold(request):
            return self._reply(409, {"reason": "fence"})
        until_ms = self._now_ms() + request.get("wait-ms", 0)
        while not self._state.has_ends and self._now_ms() < until_ms:
            self._condition.wait(TICK_S * 5)
            self._state.advance()
        return self._reply(200, self._state.report())

    def _reply(self, status: int, fields: dict[str, Any]) -> Reply:
        return json_reply({"clock-ms": int(self._now_ms()), **fields}, status)

    def _now_ms(self) -> float:
        return time.monotonic() * 1_000 * self._settings.clock_rate

    def _record(self, event: str, at_ms: float, **fields: object) -> None:
        row = {
            "t": round(at_ms / 1_000 / self._settings.clock_rate, 4),
            "event": event,
            "worker": self._settings.worker_id,
            **fields,
        }
        self._history.write(json.dumps(row) + "\n")
        self._history.flush()

    def _call(self, url: str, body: str | bytes) -> Any:
        try:
            reply = self._http.request(
                "POST", url, body=body, timeout=CALL_TIMEOUT_S
            )
            return json.loads(reply.data) if reply.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None


def _repeat(interval_s: float, step: Any) -> None:
    while True:
        step()
        time.sleep(interval_s)


def main(argument: str) -> None:
    """Run a worker until the process that started it is gone."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = WorkerSettings(**json.loads(argument))
    parent = os.getppid()
    worker = Worker(settings)
    steps = ((TICK_S, worker.tick), (GANG_POLL_S, worker.share_gangs))
    for step in steps:
        threading.Thread(target=_repeat, args=step, daemon=True).start()
    number = 0
    while os.getppid() == parent:
        number += 1
        worker.beat(number)
        time.sleep(settings.heartbeat_ms / 1_000)


if __name__ == "__main__":
    main(sys.argv[1])
