"""Faults that a play puts on its cluster, by name."""

from __future__ import annotations

import heapq
import itertools
import random
import threading
import time

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from tests.soak.schedule import QUEUES


if TYPE_CHECKING:
    from tests.soak.cluster import Entry
    from tests.soak.cluster import ManagedProcess
    from tests.soak.cluster import SoakCluster
    from tests.soak.cluster import WorkerMachine
    from tests.soak.schedule import FaultPlan


RESET_SHARE = 0.7
SLOW_LINK_S = 0.25
SLOW_STORE_S = 0.3
# What a fault returns is called when it ends.
Undo = Callable[[], Any]
Fault = Callable[["SoakCluster", random.Random], "tuple[str, Undo]"]


class FaultPlayer(threading.Thread):
    """Begins and ends the faults of a schedule at their times."""

    def __init__(self, cluster: SoakCluster, began_s: float) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._began_s = began_s
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        for plan in cluster.schedule.faults:
            self._add(began_s + plan.at_s, partial(self._begin, plan))

    def run(self) -> None:
        while self._due:
            at_s, _, action = heapq.heappop(self._due)
            time.sleep(max(0, at_s - time.monotonic()))
            action()

    def _begin(self, plan: FaultPlan) -> None:
        draw = random.Random(plan.draw)
        target, undo = _FAULT_BY_KIND[plan.kind](self._cluster, draw)
        record = self._cluster.history.record
        record("fault", kind=plan.kind, target=target, s=plan.duration_s)

        def end() -> None:
            undo()
            record("fault-end", kind=plan.kind, target=target)

        self._add(time.monotonic() + plan.duration_s, end)

    def _add(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._numbers), action))


def _none() -> None:
    return None


def _leader(cluster: SoakCluster) -> Entry:
    name = cluster.store.leader()
    by_name = {entry.name: entry for entry in cluster.entries}
    return by_name.get(name, cluster.entries[0])


def _stop(process: ManagedProcess) -> tuple[str, Undo]:
    process.pause()
    return process.name, process.resume


def _kill(process: ManagedProcess) -> tuple[str, Undo]:
    name = process.name
    process.kill()
    return name, process.start


def _terminate(entry: Entry) -> tuple[str, Undo]:
    def end_and_start() -> None:
        entry.terminate()
        entry.start()

    thread = threading.Thread(target=end_and_start)
    thread.start()
    return entry.name, thread.join


def _link_fault(is_worker: bool, name: str, value: Any) -> Fault:
    """Return a fault that sets a field of one proxy for a while."""

    def begin(cluster: SoakCluster, draw: random.Random) -> tuple[str, Undo]:
        process = _draw_process(cluster, draw, is_worker)
        former = type(value)()
        setattr(process.link, name, value)
        return process.name, lambda: setattr(process.link, name, former)

    return begin


def _break_fault(is_worker: bool, method: str) -> Fault:
    """Return a fault that breaks a part of a proxy's open connections."""

    def begin(cluster: SoakCluster, draw: random.Random) -> tuple[str, Undo]:
        process = _draw_process(cluster, draw, is_worker)
        getattr(process.link, method)(draw, RESET_SHARE)
        return process.name, _none

    return begin


def _draw_process(
    cluster: SoakCluster, draw: random.Random, is_worker: bool
) -> Entry | WorkerMachine:
    if is_worker:
        return draw.choice(cluster.machines)
    return draw.choice(cluster.entries)


def _store_fault(name: str, value: Any) -> Fault:
    def begin(cluster: SoakCluster, draw: random.Random) -> tuple[str, Undo]:
        setattr(cluster.store, name, value)
        former = type(value)()
        return "store", lambda: setattr(cluster.store, name, former)

    return begin


def _expire(cluster: SoakCluster, draw: random.Random) -> tuple[str, Undo]:
    for topic in ("jobs", "states", "runs", "servers", "op", "members"):
        cluster.store.expire(f"keyed.{topic}")
    return "store", _none


def _change_attempts(
    cluster: SoakCluster, draw: random.Random
) -> tuple[str, Undo]:
    queue = draw.choice(QUEUES)
    cluster.attempts = {**cluster.attempts, queue: draw.randint(1, 3)}
    cluster.put_configuration()
    return queue, _none


def _remove_route(
    cluster: SoakCluster, draw: random.Random
) -> tuple[str, Undo]:
    queue = draw.choice(QUEUES)
    cluster.removed_queues.add(queue)
    cluster.put_configuration()

    def restore() -> None:
        cluster.removed_queues.discard(queue)
        cluster.put_configuration()

    return queue, restore


_FAULT_BY_KIND: dict[str, Fault] = {
    "worker-stop": lambda it, draw: _stop(draw.choice(it.machines)),
    "worker-kill": lambda it, draw: _kill(draw.choice(it.machines)),
    "worker-reset": _break_fault(True, "reset"),
    "worker-mute": _break_fault(True, "mute"),
    "worker-hold-requests": _link_fault(True, "holds_requests", True),
    "worker-hold-answers": _link_fault(True, "holds_answers", True),
    "worker-slow": _link_fault(True, "delay_s", SLOW_LINK_S),
    "instance-stop": lambda it, draw: _stop(draw.choice(it.entries)),
    "leader-stop": lambda it, draw: _stop(_leader(it)),
    "instance-kill": lambda it, draw: _kill(draw.choice(it.entries)),
    "leader-kill": lambda it, draw: _kill(_leader(it)),
    "instance-term": lambda it, draw: _terminate(draw.choice(it.entries)),
    "leader-term": lambda it, draw: _terminate(_leader(it)),
    "link-hold-requests": _link_fault(False, "holds_requests", True),
    "link-hold-answers": _link_fault(False, "holds_answers", True),
    "link-reset": _break_fault(False, "reset"),
    "link-mute": _break_fault(False, "mute"),
    "store-down": _store_fault("is_down", True),
    "store-slow": _store_fault("delay_s", SLOW_STORE_S),
    "store-expire": _expire,
    "config-attempts": _change_attempts,
    "config-route": _remove_route,
}
