from __future__ import annotations

import pytest

from result import Err
from result import Ok

from magnoliapitch.clock import ManualClock
from magnoliapitch.control.delegation.messages import AgentEvent
from magnoliapitch.control.delegation.messages import AgentEventKind
from magnoliapitch.control.delegation.messages import EventBatch
from magnoliapitch.control.delegation.messages import SessionKey
from magnoliapitch.control.delegation.session import AgentSession
from magnoliapitch.control.events import Event
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import StopOrder
from tests.control.delegation.fakes import start_order
from tests.control.delegation.fakes import worker


RUN = ActiveRun(TaskKey("job", 0, 0, 0), 1)


class Leader:
    """A session with a worker ``w``, whose events a test makes up."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.session = AgentSession(
            SessionKey(7, 1), ManualClock(1_000), self.events.append
        )
        self.session.assign(worker("w"), 7)
        self.reply()

    def reply(self, *events: AgentEvent, first: int = 1) -> None:
        batch = self.session.next_batch()
        reply = EventBatch(5_000, first, 32, events)
        self.session.handle_reply(batch, reply, 1_000, 1_100)

    def reports(self) -> list[WorkerReported]:
        return [
            event for event in self.events if isinstance(event, WorkerReported)
        ]


def report(
    running: tuple[ActiveRun, ...] | None, sent_ms: int = 4_000
) -> AgentEvent:
    return AgentEvent(
        AgentEventKind.RENEWAL,
        "w",
        sent_ms,
        sent_ms + 900,
        clock_ms=70,
        running=running,
    )


def test_times_are_converted_to_the_safe_side() -> None:
    """The agent's clock shows 5,000 between 1,000 and 1,100 of the leader."""
    leader = Leader()
    leader.reply(report((RUN,)))
    (event,) = leader.reports()
    assert event.sent_ms == 0
    assert event.received_ms == 1_000
    leader.reply(report((RUN,), sent_ms=4_100), first=2)
    assert leader.reports()[-1].sent_ms == 100


# The leader took a part of a worker's ends that an agent reported for all.
def test_a_report_tells_whether_it_has_all_ends() -> None:
    leader = Leader()
    partly = report((RUN,))._replace(has_all_ends=False)
    leader.reply(partly, report(None))
    assert [
        event.outcome.unwrap().has_all_ends for event in leader.reports()
    ] == [False, True]


def test_a_report_without_changes_repeats_the_active_runs() -> None:
    leader = Leader()
    leader.reply(report((RUN,)), report(None))
    assert [event.outcome.unwrap().running for event in leader.reports()] == [
        (RUN,),
        (RUN,),
    ]


def test_a_repeated_report_from_before_a_release_is_ignored() -> None:
    """It would look like a report without any active run."""
    leader = Leader()
    leader.reply(report((RUN,)))
    leader.session.release("w")
    leader.session.assign(worker("w"), 7)
    leader.reply(report(None), first=2)
    assert len(leader.reports()) == 1


def test_a_released_worker_has_no_more_reports() -> None:
    leader = Leader()
    leader.session.release("w")
    leader.reply(report((RUN,)))
    assert leader.reports() == []


def test_events_are_posted_once_and_in_order() -> None:
    leader = Leader()
    leader.reply(report((RUN,)), report(None))
    leader.reply(report((RUN,)), report(None), report(()))
    leader.reply(report((RUN,)), first=5)
    runs = [event.outcome.unwrap().running for event in leader.reports()]
    assert runs == [(RUN,), (RUN,), ()]


def test_a_lost_session_leaves_its_orders_uncertain() -> None:
    leader = Leader()
    planned, order = start_order(0, "w")
    leader.session.start(planned, order)
    leader.session.order_stop("w", StopOrder(order.task, 1, 7))
    leader.session.fail(may_have_run(FailureCode.TIMEOUT, "lost"))
    assert len(leader.events) == 3
    for event in leader.events:
        assert isinstance(event, WorkerReported | StartAnswered | StopAnswered)
        assert isinstance(event.outcome, Err)
        assert event.outcome.err_value.verdict is Verdict.MAY_HAVE_RUN
    leader.session.fail(may_have_run(FailureCode.TIMEOUT, "lost"))
    assert len(leader.events) == 3


def test_start_orders_in_flight_are_limited_by_the_agent() -> None:
    leader = Leader()
    for position in range(10):
        leader.session.start(*start_order(position, "w"))
    assert leader.session.available_start_orders() == 22
    assert leader.session.start_limit == 32
    answered = AgentEvent(
        AgentEventKind.START, "w", 4_000, 4_001, None, 9, RUN.task, 1
    )
    leader.reply(answered)
    assert leader.session.available_start_orders() == 23
    (event,) = leader.events
    assert isinstance(event, StartAnswered)
    assert event.outcome == Ok(9)


def test_a_payload_is_sent_once_for_the_tasks_of_a_job() -> None:
    leader = Leader()
    for position in range(10):
        leader.session.start(*start_order(position, "w"))
    batch = leader.session.next_batch()
    assert batch.payload_by_job == {"job": "text"}
    assert len(batch.starts) == 10


@pytest.mark.parametrize("sequence", [3, 2])
def test_an_old_acknowledgement_changes_nothing(sequence: int) -> None:
    leader = Leader()
    leader.session.acknowledge("w", 3)
    leader.reply()
    leader.session.acknowledge("w", sequence)
    assert not leader.session.wait_for_commands(0)


# Guards against waking agents, and with them renewals, for nothing.
def test_a_grant_that_changes_nothing_is_not_sent() -> None:
    """The leader grants no lease after each renewal without an answer."""
    leader = Leader()
    leader.session.grant("w", None)
    assert len(leader.session.next_batch().grants) == 1
    leader.reply()
    leader.session.grant("w", None)
    assert not leader.session.wait_for_commands(0)
    leader.session.grant("w", 9_000)
    assert leader.session.wait_for_commands(0)
