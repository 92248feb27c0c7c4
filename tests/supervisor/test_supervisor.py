from __future__ import annotations

import threading

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import RestartPolicy
from magnoliapitch.supervisor import StartError
from magnoliapitch.supervisor import Supervisor


POLICY = RestartPolicy(max_restarts=3, window_ms=10_000, hung_after_ms=1_000)
TIMEOUT_S = 10


class FakeChild:
    def __init__(self, name: str, calls: list[str]) -> None:
        self.name = name
        self.alive = False
        self.failing_starts = 0
        self.fails_to_stop = False
        self.reported_age_ms = 0
        self._calls = calls

    def start(self) -> None:
        if self.failing_starts:
            self.failing_starts -= 1
            raise StartError(self.name, "port in use")
        self._calls.append(f"start {self.name}")
        self.alive = True

    def stop(self) -> None:
        self._calls.append(f"stop {self.name}")
        self.alive = False
        if self.fails_to_stop:
            raise RuntimeError("cannot stop")

    def is_alive(self) -> bool:
        return self.alive

    def heartbeat_age_ms(self) -> int:
        return self.reported_age_ms


class SupervisorSetup:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.clock = ManualClock()
        self.give_up_count = 0
        self.children = [FakeChild(name, self.calls) for name in "abc"]
        self.supervisor = Supervisor(
            "root", list(self.children), self.clock, POLICY, self._give_up
        )

    def start_without_monitoring(self) -> None:
        for child in self.children:
            child.start()

    def _give_up(self) -> None:
        self.give_up_count += 1


def test_supervisor_stops_in_reverse_order_despite_a_failing_stop() -> None:
    setup = SupervisorSetup()
    setup.supervisor = Supervisor(
        "root", list(setup.children), MonotonicClock(), POLICY
    )
    setup.supervisor.start()
    setup.children[1].fails_to_stop = True
    setup.supervisor.stop()
    assert setup.calls == [
        *("start a", "start b", "start c"),
        *("stop c", "stop b", "stop a"),
    ]


def test_supervisor_stops_started_children_when_a_start_fails() -> None:
    setup = SupervisorSetup()
    setup.children[2].failing_starts = 1
    with pytest.raises(StartError, match="c: port in use"):
        setup.supervisor.start()
    assert setup.calls == ["start a", "start b", "stop b", "stop a"]


def test_supervisor_restarts_a_failed_child_after_a_backoff() -> None:
    setup = SupervisorSetup()
    setup.start_without_monitoring()
    setup.children[1].alive = False
    setup.supervisor.check_children()
    setup.supervisor.check_children()
    assert not setup.children[1].alive
    setup.clock.advance(POLICY.first_backoff_ms)
    setup.supervisor.check_children()
    assert setup.children[1].alive
    assert setup.calls.count("start b") == 2
    assert setup.calls.count("start a") == 1


def test_supervisor_retries_a_failed_restart() -> None:
    setup = SupervisorSetup()
    setup.start_without_monitoring()
    setup.children[0].alive = False
    setup.children[0].failing_starts = 2
    for _ in range(8):
        setup.supervisor.check_children()
        setup.clock.advance(POLICY.first_backoff_ms * 4)
    assert setup.children[0].alive
    assert setup.give_up_count == 0


def test_supervisor_gives_up_once_beyond_the_restart_limit() -> None:
    setup = SupervisorSetup()
    setup.start_without_monitoring()
    for _ in range(10):
        setup.children[0].alive = False
        setup.supervisor.check_children()
        setup.clock.advance(1_000)
        setup.supervisor.check_children()
    assert setup.give_up_count == 1
    assert setup.supervisor.has_given_up
    assert setup.calls.count("start a") == 1 + POLICY.max_restarts


def test_supervisor_restarts_forever_when_failures_are_far_apart() -> None:
    setup = SupervisorSetup()
    setup.start_without_monitoring()
    for _ in range(20):
        setup.children[0].alive = False
        setup.supervisor.check_children()
        setup.clock.advance(POLICY.window_ms // 2)
        setup.supervisor.check_children()
        assert setup.children[0].alive
    assert setup.give_up_count == 0


def test_supervisor_detects_a_hung_child_and_its_recovery() -> None:
    setup = SupervisorSetup()
    setup.start_without_monitoring()
    setup.children[2].reported_age_ms = POLICY.hung_after_ms + 1
    setup.supervisor.check_children()
    assert setup.supervisor.hung_children() == ("c",)
    dump = setup.supervisor.dump()["c"]
    assert isinstance(dump, dict)
    assert dump["heartbeat_age_ms"] == POLICY.hung_after_ms + 1
    setup.children[2].reported_age_ms = 0
    setup.supervisor.check_children()
    assert setup.supervisor.hung_children() == ()


def test_loop_continues_with_its_state_after_a_step_raised() -> None:
    counts: list[int] = []
    has_finished = threading.Event()

    def step() -> int:
        counts.append(len(counts))
        if len(counts) == 2:
            raise ValueError("broken")
        if len(counts) >= 4:
            has_finished.set()
        return 1

    clock = MonotonicClock()
    supervisor = Supervisor("root", [Loop("steps", step, clock)], clock)
    supervisor.start()
    assert has_finished.wait(TIMEOUT_S)
    supervisor.stop()
    assert counts[:4] == [0, 1, 2, 3]


def test_loop_can_be_stopped_by_its_own_step() -> None:
    has_finished = threading.Event()

    def step() -> int:
        loop.stop()
        has_finished.set()
        return 0

    loop = Loop("own", step, MonotonicClock())
    loop.start()
    assert has_finished.wait(TIMEOUT_S)
    loop.stop()
    assert not loop.is_alive()


def test_loop_abandons_a_hung_step_on_stop() -> None:
    release = threading.Event()
    entered = threading.Event()

    def step() -> int:
        entered.set()
        release.wait(TIMEOUT_S)
        return 0

    loop = Loop("hung", step, MonotonicClock(), stop_timeout_ms=20)
    loop.start()
    assert entered.wait(TIMEOUT_S)
    loop.stop()
    assert loop.is_alive()
    release.set()
