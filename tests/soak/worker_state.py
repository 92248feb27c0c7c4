"""What a worker of the soak keeps: leases, fences, runs and their ends.

It follows "Running tasks" of the users' PROTOCOL.md. All times are in
milliseconds of the worker's own steady clock.
"""

from __future__ import annotations

import json
import math
import random

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable


LISTED_END_COUNT = 500
STOP_TIMEOUT_MS = 400
GANG_TIMEOUT_MS = 3_000


class WorkerLimits(NamedTuple):
    max_hold_ms: int
    cpu: int
    mem_mb: int
    checks_admission: bool


class Run:
    """A run that has been started and has not ended.

    :ivar end_ms: when it ends by itself.
    :ivar end_kind: how it ends then.
    :ivar done_ms: when a gang is done, if no member ends before.
    """

    def __init__(self, task: str, number: int, spec: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.cpu = int(spec["cpu"])
        self.mem_mb = int(spec["mem"])
        self.gang = int(spec["gang"])
        step = task.rpartition(".")[0] if self.gang else task
        draw = random.Random(f"{step}#{number}#{spec['salt']}")
        low_ms, high_ms = spec["ms"]
        self.duration_ms = draw.uniform(low_ms, high_ms)
        self.fails = draw.random() < spec["p"]
        if self.gang:
            own = random.Random(f"{task}#{number}#{spec['salt']}")
            self.fails = self.fails and own.random() < 0.5
        self.end_ms = math.inf
        self.end_kind = ""
        self.done_ms = math.inf

    @property
    def gang_key(self) -> str:
        """Names the run of the gang that this one is a member of."""
        return f"{self.task.rpartition('.')[0]}#{self.number}"

    def wait_for_gang(self, now_ms: float) -> None:
        """End as ``alone`` unless the gang is complete in time."""
        self.end_ms, self.end_kind = now_ms + GANG_TIMEOUT_MS, "alone"

    def begin(self, now_ms: float) -> None:
        """Begin to work: from now on the run ends by itself."""
        self.end_ms = now_ms + self.duration_ms
        self.end_kind = "failed" if self.fails else "done"
        if self.gang and not self.fails:
            self.done_ms, self.end_ms = self.end_ms, math.inf


class _End(NamedTuple):
    sequence: int
    task: str
    run: int
    kind: str
    lapse_count: int


class WorkerState:
    """State of one life of a worker, without threads or sockets.

    :param now_ms: the worker's steady clock.
    :param record: writes an event to the history: its name, the time and
        further fields.
    :ivar ended_members: members of gangs whose end the others are to learn.
    """

    def __init__(
        self,
        limits: WorkerLimits,
        now_ms: Callable[[], float],
        record: Callable[..., None],
    ) -> None:
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended_members: list[Run] = []
        self._limits = limits
        self._now_ms = now_ms
        self._record = record
        self._token = 0
        self._lease_end_ms = -math.inf
        self._has_lease = False
        self._lapse_count = 0
        self._highest_ended: dict[str, int] = {}
        self._ends: list[_End] = []
        self._sequence = 0
        self._listed_sequence = 0

    @property
    def has_ends(self) -> bool:
        return bool(self._ends)

    def advance(self) -> None:
        """Carry out ends and the end of the lease up to now, in order."""
        now_ms = self._now_ms()
        while True:
            run = min(
                self.runs.values(), key=lambda run: run.end_ms, default=None
            )
            end_ms = math.inf if run is None else run.end_ms
            if self._has_lease and self._lease_end_ms <= min(now_ms, end_ms):
                self._lapse()
            elif run is not None and end_ms <= now_ms:
                self.end(run, run.end_kind, end_ms)
            else:
                return

    def end(self, run: Run, kind: str, at_ms: float) -> None:
        """End a run; it is listed until its end is acknowledged."""
        del self.runs[run.task, run.number]
        self._bar(run.task, run.number)
        if run.gang:
            self.ended_members.append(run)
        self._sequence += 1
        self._ends.append(
            _End(self._sequence, run.task, run.number, kind, self._lapse_count)
        )
        self._record(
            "end", at_ms, task=run.task, run=run.number, kind=kind,
            seq=self._sequence,
        )  # fmt: skip

    def start(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Answer ``/run-start`` with a status and fields."""
        if self._is_fenced(request):
            return 409, {"reason": "fence"}
        if request["deadline-ms"] <= self._now_ms():
            return 409, {"reason": "late"}
        self._extend(request["deadline-ms"])
        task, number = request["task"], int(request["run-id"])
        if (task, number) in self.runs:
            return 200, {}
        newest = max(
            (run for name, run in self.runs if name == task), default=0
        )
        if number <= max(newest, self._highest_ended.get(task, 0)):
            return 409, {"reason": "old"}
        run = Run(task, number, json.loads(request["spec"]))
        if self._limits.checks_admission and not self._has_room(run):
            return 409, {"reason": "room"}
        self.runs[task, number] = run
        now_ms = self._now_ms()
        if run.gang:
            run.wait_for_gang(now_ms)
        else:
            run.begin(now_ms)
        token = request.get("fencing-token", 0)
        self._record("start", now_ms, task=task, run=number, token=token)
        return 200, {}

    def stop(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Answer ``/run-stop`` with a status and fields."""
        if self._is_fenced(request):
            return 409, {"reason": "fence"}
        task, number = request["task"], int(request["run-id"])
        run = self.runs.get((task, number))
        if run is None:
            self._bar(task, number)
            return 200, {}
        stop_ms = random.uniform(0, STOP_TIMEOUT_MS)
        end_ms = self._now_ms() + stop_ms
        if end_ms < run.end_ms:
            run.end_ms, run.end_kind = end_ms, "stopped"
        return 200, {}

    def hold(self, request: dict[str, Any]) -> bool:
        """Take acknowledged ends and the lease of ``/hold``.

        :return: whether the token is high enough.
        """
        if self._is_fenced(request):
            return False
        acknowledged = request.get("ack-seq", 0)
        for end in self._ends:
            if end.sequence <= acknowledged:
                is_clean = end.lapse_count == self._lapse_count
                self._record(
                    "noted", self._now_ms(), task=end.task, run=end.run,
                    kind=end.kind, clean=is_clean,
                )  # fmt: skip
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        if request.get("deadline-ms") is not None:
            self._extend(request["deadline-ms"])
        return True

    def report(self) -> dict[str, Any]:
        """Return the lists of active and ended runs."""
        listed = self._ends[:LISTED_END_COUNT]
        for end in listed:
            if end.sequence > self._listed_sequence:
                self._listed_sequence = end.sequence
                self._record(
                    "listed", self._now_ms(), task=end.task, run=end.run
                )
        return {
            "running": [
                [run.task, run.number, "", 50, run.cpu]
                for run in self.runs.values()
            ],
            "ended-runs": [
                [end.sequence, end.task, end.run, end.kind, ""]
                for end in listed
            ],
        }

    def _is_fenced(self, request: dict[str, Any]) -> bool:
        token = int(request.get("fencing-token") or 0)
        if token < self._token:
            self._record("fenced", self._now_ms(), token=token)
            return True
        self._token = token
        return False

    def _extend(self, deadline_ms: float) -> None:
        longest_ms = self._now_ms() + self._limits.max_hold_ms
        end_ms = min(deadline_ms, longest_ms)
        if end_ms > max(self._now_ms(), self._lease_end_ms):
            self._lease_end_ms = end_ms
            self._has_lease = True

    def _lapse(self) -> None:
        self._has_lease = False
        self._lapse_count += 1
        self._record("lapse", self._lease_end_ms, runs=len(self.runs))
        for run in list(self.runs.values()):
            self.end(run, "lapsed", self._lease_end_ms)

    def _bar(self, task: str, number: int) -> None:
        known = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(known, number)

    def _has_room(self, run: Run) -> bool:
        cpu = sum(other.cpu for other in self.runs.values())
        mem_mb = sum(other.mem_mb for other in self.runs.values())
        return (
            cpu + run.cpu <= self._limits.cpu
            and mem_mb + run.mem_mb <= self._limits.mem_mb
        )
