from __future__ import annotations

import threading

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import RestartPolicy
from magnoliapitch.supervisor import StartError
from magnoliapitch.supervisor import Supervisor


POLICY = RestartPolicy(limit=3, window_ms=10_000, hung_after_ms=1_000)
WAIT_S = 10


class FakeChild:
    def __init__(self, name: str, journal: list[str]) -> None:
        self.name = name
        self.alive = False
        self.start_errors = 0
        self.stop_error = False
        self.age_ms = 0
        self._journal = journal

    def start(self) -> None:
        if self.start_errors:
            self.start_errors -= 1
            raise StartError(self.name, "port in use")
        self._journal.append(f"start {self.name}")
        self.alive = True

    def stop(self) -> None:
        self._journal.append(f"stop {self.name}")
        self.alive = False
        if self.stop_error:
            raise RuntimeError("cannot stop")

    def is_alive(self) -> bool:
        return self.alive

    def heartbeat_age_ms(self) -> int:
        return self.age_ms


class Rig:
    def __init__(self) -> None:
        self.journal: list[str] = []
        self.clock = ManualClock()
        self.given_up = 0
        self.children = [FakeChild(name, self.journal) for name in "abc"]
        self.supervisor = Supervisor(
            "root", list(self.children), self.clock, POLICY, self._give_up
        )

    def start_unwatched(self) -> None:
        for child in self.children:
            child.start()

    def _give_up(self) -> None:
        self.given_up += 1


def test_supervisor_stops_in_reverse_order_past_a_failing_stop() -> None:
    rig = Rig()
    rig.supervisor = Supervisor(
        "root", list(rig.children), MonotonicClock(), POLICY
    )
    rig.supervisor.start()
    rig.children[1].stop_error = True
    rig.supervisor.stop()
    assert rig.journal == [
        *("start a", "start b", "start c"),
        *("stop c", "stop b", "stop a"),
    ]


def test_supervisor_undoes_a_start_that_fails() -> None:
    rig = Rig()
    rig.children[2].start_errors = 1
    with pytest.raises(StartError, match="c: port in use"):
        rig.supervisor.start()
    assert rig.journal == ["start a", "start b", "stop b", "stop a"]


def test_supervisor_restarts_a_failed_child_after_a_backoff() -> None:
    rig = Rig()
    rig.start_unwatched()
    rig.children[1].alive = False
    rig.supervisor.check()
    rig.supervisor.check()
    assert not rig.children[1].alive
    rig.clock.advance(POLICY.first_backoff_ms)
    rig.supervisor.check()
    assert rig.children[1].alive
    assert rig.journal.count("start b") == 2
    assert rig.journal.count("start a") == 1


def test_supervisor_tries_again_when_a_restart_fails() -> None:
    rig = Rig()
    rig.start_unwatched()
    rig.children[0].alive = False
    rig.children[0].start_errors = 2
    for _ in range(8):
        rig.supervisor.check()
        rig.clock.advance(POLICY.first_backoff_ms * 4)
    assert rig.children[0].alive
    assert rig.given_up == 0


def test_supervisor_gives_up_once_beyond_the_limit() -> None:
    rig = Rig()
    rig.start_unwatched()
    for _ in range(10):
        rig.children[0].alive = False
        rig.supervisor.check()
        rig.clock.advance(1_000)
        rig.supervisor.check()
    assert rig.given_up == 1
    assert rig.supervisor.has_given_up
    assert rig.journal.count("start a") == 1 + POLICY.limit


def test_supervisor_goes_on_when_failures_are_far_apart() -> None:
    rig = Rig()
    rig.start_unwatched()
    for _ in range(20):
        rig.children[0].alive = False
        rig.supervisor.check()
        rig.clock.advance(POLICY.window_ms // 2)
        rig.supervisor.check()
        assert rig.children[0].alive
    assert rig.given_up == 0


def test_supervisor_notices_a_hung_child_and_its_recovery() -> None:
    rig = Rig()
    rig.start_unwatched()
    rig.children[2].age_ms = POLICY.hung_after_ms + 1
    rig.supervisor.check()
    assert rig.supervisor.hung() == ("c",)
    dump = rig.supervisor.dump()["c"]
    assert isinstance(dump, dict)
    assert dump["heartbeat_age_ms"] == POLICY.hung_after_ms + 1
    rig.children[2].age_ms = 0
    rig.supervisor.check()
    assert rig.supervisor.hung() == ()


def test_loop_goes_on_from_its_state_after_a_step_that_raises() -> None:
    counts: list[int] = []
    done = threading.Event()

    def step() -> int:
        counts.append(len(counts))
        if len(counts) == 2:
            raise ValueError("broken")
        if len(counts) >= 4:
            done.set()
        return 1

    clock = MonotonicClock()
    supervisor = Supervisor("root", [Loop("steps", step, clock)], clock)
    supervisor.start()
    assert done.wait(WAIT_S)
    supervisor.stop()
    assert counts[:4] == [0, 1, 2, 3]


def test_loop_can_be_stopped_by_its_own_step() -> None:
    done = threading.Event()

    def step() -> int:
        loop.stop()
        done.set()
        return 0

    loop = Loop("own", step, MonotonicClock())
    loop.start()
    assert done.wait(WAIT_S)
    loop.stop()
    assert not loop.is_alive()


def test_loop_leaves_a_hung_step_behind() -> None:
    release = threading.Event()
    entered = threading.Event()

    def step() -> int:
        entered.set()
        release.wait(WAIT_S)
        return 0

    loop = Loop("hung", step, MonotonicClock(), stop_timeout_ms=20)
    loop.start()
    assert entered.wait(WAIT_S)
    loop.stop()
    assert loop.is_alive()
    release.set()
