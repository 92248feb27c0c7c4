from __future__ import annotations

import time

from result import Err

from magnoliapitch.control.delegation.agent import ABANDONED_AFTER_MS
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import StopOrder
from tests.control.delegation.fakes import SOON_S
from tests.control.delegation.fakes import AgentPair
from tests.control.delegation.fakes import start_order
from tests.control.delegation.fakes import worker


def test_a_batch_that_is_sent_again_is_applied_once() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.session.start(*start_order(0, "w"))
    batch = pair.session.next_batch()
    pair.agent.exchange(batch)
    assert pair.session.next_batch() == batch
    pair.send()
    answered = pair.poll_until(StartAnswered)
    assert isinstance(answered, StartAnswered)
    assert answered.outcome.is_ok()
    assert len(pair.workers.started) == 1


# Incident TWICE: orders to a worker that had restarted carried the epoch.
def test_orders_carry_the_token_of_their_worker() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 9)
    pair.session.start(*start_order(0, "w"))
    pair.session.order_stop("w", StopOrder(TaskKey("job", 0, 0, 0), 1, 9))
    pair.send()
    wait_until(lambda: pair.workers.started and pair.workers.stopped)
    assert pair.workers.started[0].token == 9
    assert pair.workers.stopped[0].token == 9


def test_leases_get_the_deadline_that_the_leader_granted() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.send()
    pair.poll_until(WorkerReported)
    pair.session.grant("w", 9_000)
    pair.send()
    wait_until(lambda: 9_000 in pair.workers.deadlines_ms)
    assert pair.workers.deadlines_ms[0] is None


def test_an_earlier_session_is_refused() -> None:
    pair = AgentPair(session_number=2)
    pair.session.assign(worker("w"), 7)
    pair.send()
    earlier = pair.new_session(1)
    refused = pair.agent.exchange(earlier.next_batch()).unwrap_err()
    assert refused.code is FailureCode.FENCED
    pair.poll()


def test_an_agent_that_has_restarted_does_not_know_the_session() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.send()
    restarted = AgentPair().agent
    for batch in (
        pair.session.request_for_events(0),
        pair.session.next_batch(),
    ):
        failure = restarted.exchange(batch).unwrap_err()
        assert failure.code is FailureCode.SEQUENCE


def test_a_missing_batch_is_noticed() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.send()
    batch = pair.session.next_batch()._replace(number=3)
    failure = pair.agent.exchange(batch).unwrap_err()
    assert failure.code is FailureCode.SEQUENCE


def test_an_abandoned_session_stops_renewing_leases() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.send()
    pair.poll_until(WorkerReported)
    pair.clock.advance(ABANDONED_AFTER_MS + 1)
    pair.agent.step()
    time.sleep(0.2)
    count = len(pair.workers.renewed_ids)
    time.sleep(0.3)
    assert len(pair.workers.renewed_ids) == count
    failure = pair.agent.exchange(
        pair.session.request_for_events(0)
    ).unwrap_err()
    assert failure.code is FailureCode.SEQUENCE


def test_a_new_session_takes_over_the_workers() -> None:
    pair = AgentPair()
    pair.session.assign(worker("old"), 7)
    pair.send()
    pair.session = pair.new_session(2)
    pair.session.assign(worker("new"), 7)
    pair.send()
    pair.events.clear()
    pair.poll_until(WorkerReported)
    time.sleep(0.2)
    pair.workers.renewed_ids.clear()
    time.sleep(0.3)
    assert set(pair.workers.renewed_ids) == {"new"}


def test_an_order_for_a_worker_that_was_released_has_not_run() -> None:
    pair = AgentPair()
    pair.session.assign(worker("w"), 7)
    pair.send()
    pair.session.start(*start_order(0, "w"))
    pair.session.release("w")
    pair.send()
    answered = pair.poll_until(StartAnswered)
    assert isinstance(answered, StartAnswered)
    assert isinstance(answered.outcome, Err)
    assert answered.outcome.err_value.verdict is Verdict.NOT_RUN
    assert pair.workers.started == []


def wait_until(is_reached: object) -> None:
    end_s = time.monotonic() + SOON_S
    while not is_reached():  # type: ignore[operator]
        assert time.monotonic() < end_s
        time.sleep(0.01)
