from __future__ import annotations

from magnoliapitch.access import AccessGate
from magnoliapitch.access import Caller
from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.access import Grant
from magnoliapitch.clock import ManualClock
from magnoliapitch.metric import Metrics
from magnoliapitch.verdict import FailureCode
from tests.access.configurations import HOST
from tests.access.configurations import PRIVATE_QUEUE
from tests.access.configurations import PUBLIC_QUEUE
from tests.access.configurations import configuration


PATH = "/plans/0a"
NORTH = "Bearer north-1"


class Gate:
    """A gate that was configured with a version, if any."""

    def __init__(self, has_workspaces: bool = True) -> None:
        self.clock = ManualClock(50_000)
        self.freshness = ConfigurationFreshness(self.clock)
        self.metrics = Metrics()
        self.gate = AccessGate(self.freshness, self.metrics)
        workspaces = configuration() if has_workspaces else None
        self.gate.configure(workspaces or configuration(workspaces=()))
        self.freshness.end_check(
            self.freshness.begin_check(), has_succeeded=True
        )

    def code(self, path: str, authorization: str) -> FailureCode:
        decision = self.gate.decide(HOST, path, authorization)
        return decision.unwrap_err().code


def test_a_known_key_is_granted_its_workspace() -> None:
    decision = Gate().gate.decide(HOST, PATH, NORTH)
    caller = Caller("north", is_restricted=True)
    assert decision.unwrap() == Grant(PRIVATE_QUEUE, caller)


def test_an_unknown_queue_is_not_found_whatever_the_key() -> None:
    gate = Gate()
    for authorization in ("", "Bearer other", NORTH):
        assert gate.code("/other/0a", authorization) is FailureCode.NOT_FOUND
    found = gate.gate.decide("other", PATH, "").unwrap_err()
    assert found.code is FailureCode.NOT_FOUND


def test_a_call_without_a_known_key_is_unauthenticated_and_counted() -> None:
    gate = Gate()
    for authorization in ("", "Bearer other", "Basic north-1"):
        assert gate.code(PATH, authorization) is FailureCode.UNAUTHENTICATED
    counts = gate.metrics.counts()
    assert counts["calls_rejected", "unauthenticated"] == 3


def test_a_public_queue_needs_no_key() -> None:
    decision = Gate().gate.decide(HOST, "/open/0a", "")
    caller = Caller("", is_restricted=True)
    assert decision.unwrap() == Grant(PUBLIC_QUEUE, caller)


def test_no_call_is_answered_before_the_first_configuration() -> None:
    freshness = ConfigurationFreshness(ManualClock())
    gate = AccessGate(freshness, Metrics())
    failure = gate.decide(HOST, PATH, NORTH).unwrap_err()
    assert failure.code is FailureCode.UNAVAILABLE
    assert failure.retry_after_ms == 1_000


def test_calls_wait_for_a_check_only_where_keys_are_required() -> None:
    for has_workspaces, waited_ms in ((True, 300), (False, 0)):
        gate = Gate(has_workspaces)
        gate.clock.advance(60_000)
        started_ms = gate.clock.now_ms()
        assert gate.gate.decide(HOST, PATH, NORTH).is_ok()
        assert gate.clock.now_ms() - started_ms == waited_ms


def test_an_instance_without_the_store_continues_with_what_it_knows() -> None:
    gate = Gate()
    gate.clock.advance(3_600_000)
    assert gate.gate.decide(HOST, PATH, NORTH).is_ok()
    assert gate.code(PATH, "Bearer other") is FailureCode.UNAUTHENTICATED
