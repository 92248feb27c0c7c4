from __future__ import annotations

from typing import Any

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import Caller
from magnoliapitch.http.client import HttpReply
from magnoliapitch.http.problem import problem_response
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.relay.client import FAILURE_BACKOFF_MS
from magnoliapitch.relay.messages import JOB_REQUEST
from magnoliapitch.relay.messages import STATE_PATH
from magnoliapitch.relay.messages import JobRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import StepSpec
from tests.relay.cluster import JOB
from tests.relay.cluster import LEADER
from tests.relay.cluster import PEERS
from tests.relay.cluster import STORE_DOWN
from tests.relay.cluster import TIMEOUT_MS
from tests.relay.cluster import UNANSWERED
from tests.relay.cluster import Cluster
from tests.relay.cluster import TurnedAway
from tests.relay.cluster import leader_first


@pytest.mark.parametrize("failure", [STORE_DOWN, UNANSWERED])
def test_operations_go_through_the_leader_while_the_store_fails(
    failure: Failure,
) -> None:
    cluster = Cluster(failure)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.jobs.cancel("0a", TIMEOUT_MS) == Ok(True)
    assert cluster.jobs.state("0a", TIMEOUT_MS) == Ok(JobState.RUNNING)
    assert cluster.jobs.state("0b", TIMEOUT_MS) == Ok(None)
    assert cluster.there.operations == [
        ("submit", "0a"),
        ("cancel", "0a"),
        ("state", "0a"),
        ("state", "0b"),
    ]


def test_the_caller_is_passed_on_with_every_operation() -> None:
    """Else the other instance could not check the job's workspace."""
    for caller in (UNRESTRICTED, Caller("north", True), Caller("", True)):
        cluster = Cluster(STORE_DOWN)
        job = JOB._replace(workspace=caller.workspace)
        cluster.jobs.submit(job, TIMEOUT_MS, caller)
        cluster.jobs.cancel("0a", TIMEOUT_MS, caller)
        cluster.jobs.state("0a", TIMEOUT_MS, caller)
        assert cluster.there.callers == [caller] * 3


def test_a_job_of_another_workspace_is_forbidden_through_the_leader() -> None:
    """The store's failure would make the caller try again without end."""
    cluster = Cluster(STORE_DOWN, not_run(FailureCode.FORBIDDEN, "other"))
    outcomes: tuple[Result[Any, Failure], ...] = (
        cluster.jobs.submit(JOB, TIMEOUT_MS, Caller("south", True)),
        cluster.jobs.cancel("0a", TIMEOUT_MS, Caller("south", True)),
        cluster.jobs.state("0a", TIMEOUT_MS, Caller("south", True)),
    )
    for outcome in outcomes:
        failure = outcome.unwrap_err()
        assert failure.code is FailureCode.FORBIDDEN
        assert failure.verdict is Verdict.NOT_RUN


def test_a_request_of_the_former_release_is_read_as_unrestricted() -> None:
    assert JOB_REQUEST.validate_json(b'["0a",200]') == JobRequest("0a", 200)


@pytest.mark.parametrize(
    "body",
    [b"", b"\xff", b"7", b'["0a",200,["north",true,1]]', b'["0a",200,7]'],
)
def test_a_request_that_cannot_be_read_is_refused(body: bytes) -> None:
    cluster = Cluster(STORE_DOWN)
    url = f"http://{LEADER}{STATE_PATH}"
    reply = cluster.exchange("POST", url, TIMEOUT_MS, body, {}).unwrap()
    assert reply.status == 400


def test_the_leader_is_not_called_while_the_store_answers() -> None:
    cluster = Cluster(None)
    cluster.jobs.submit(JOB, TIMEOUT_MS)
    cluster.jobs.state("0b", TIMEOUT_MS)
    assert cluster.calls == 0


def test_a_refusal_of_the_job_itself_is_not_passed_on() -> None:
    cluster = Cluster(not_run(FailureCode.INVALID, "no steps"))
    assert cluster.jobs.submit(JOB, TIMEOUT_MS).is_err()
    assert cluster.calls == 0


def test_a_failure_of_both_is_the_first_one() -> None:
    cluster = Cluster(STORE_DOWN, STORE_DOWN)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(STORE_DOWN)
    cluster = Cluster(UNANSWERED, STORE_DOWN)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(UNANSWERED)


@pytest.mark.parametrize("is_network", [True, False])
def test_a_job_that_the_leader_may_have_stored_is_not_refused(
    is_network: bool,
) -> None:
    cluster = Cluster(STORE_DOWN, None if is_network else UNANSWERED)
    cluster.network_failure = UNANSWERED if is_network else None
    failure = cluster.jobs.submit(JOB, TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_silent_leader_is_left_alone_for_a_while() -> None:
    cluster = Cluster(STORE_DOWN)
    cluster.network_failure = STORE_DOWN
    for _ in range(5):
        assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(STORE_DOWN)
    assert cluster.calls == 1
    cluster.clock.advance(FAILURE_BACKOFF_MS)
    cluster.network_failure = None
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)


def test_the_leader_itself_has_nobody_to_ask() -> None:
    cluster = Cluster(STORE_DOWN)
    assert cluster.jobs_at(LEADER).submit(JOB, TIMEOUT_MS) == Err(STORE_DOWN)
    cluster.states.leader = None
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(STORE_DOWN)
    assert cluster.calls == 0


def test_a_caller_without_time_left_is_answered_at_once() -> None:
    cluster = Cluster(STORE_DOWN)
    assert cluster.jobs.submit(JOB, 200) == Err(STORE_DOWN)
    assert cluster.calls == 0


REJECTED = not_run(FailureCode.OVERLOADED, "of no use after 9 s", 4_000)
IMPOSSIBLE = not_run(FailureCode.IMPOSSIBLE, "larger than every worker")


@pytest.mark.parametrize("rejection", [REJECTED, IMPOSSIBLE])
def test_a_rejection_by_the_leader_is_the_answer(rejection: Failure) -> None:
    cluster = Cluster(STORE_DOWN, rejection)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(rejection)


def test_a_job_that_may_be_stored_here_is_not_reported_as_rejected() -> None:
    """This instance goes on to send its append."""
    cluster = Cluster(UNANSWERED, REJECTED)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(UNANSWERED)


@pytest.mark.parametrize(
    "reply",
    [
        HttpReply(500, b"internal error"),
        HttpReply(502, b"[]"),
        HttpReply(503, b'{"title": 5}'),
    ],
)
def test_an_answer_that_tells_nothing_leaves_the_outcome_open(
    reply: HttpReply,
) -> None:
    """The leader's instance may have stored the job before it failed."""
    cluster = Cluster(STORE_DOWN)
    cluster.reply = reply
    outcome = cluster.jobs.submit(JOB, TIMEOUT_MS)
    assert isinstance(outcome, Err)
    assert outcome.err_value.verdict is Verdict.MAY_HAVE_RUN


def test_an_unexpected_error_of_the_leader_leaves_the_outcome_open() -> None:
    """Its application answers with status 500 and says so in the body."""
    internal = may_have_run(FailureCode.INTERNAL, "internal error")
    cluster = Cluster(STORE_DOWN)
    cluster.reply = HttpReply(500, problem_response(internal).body)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(internal)


def test_a_malformed_job_from_a_peer_is_refused() -> None:
    cluster = Cluster(STORE_DOWN)
    job = JOB._replace(steps=(StepSpec(1, estimate_ms=-5),))
    assert cluster.jobs.submit(job, TIMEOUT_MS) == Err(STORE_DOWN)
    assert cluster.there.operations == []


# Every call got 503 as long as the last known leader was turned away too.
def test_another_instance_is_called_if_the_leader_is_turned_away() -> None:
    cluster = TurnedAway()
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.called[0] == LEADER
    assert cluster.called[1] in PEERS


def test_the_instance_that_led_last_calls_another_one() -> None:
    cluster = TurnedAway()
    assert cluster.jobs_at(LEADER).submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.called[0] in PEERS


def test_a_silent_instance_is_not_called_for_a_while() -> None:
    cluster = TurnedAway()
    cluster.network_failure = STORE_DOWN
    for _ in range(10):
        cluster.jobs.submit(JOB, TIMEOUT_MS)
    assert sorted(cluster.called) == [LEADER, *PEERS]


def test_only_the_last_leader_is_asked_again_while_the_store_is_down() -> None:
    """It notices first that an outage is over; the others are left alone."""
    cluster = TurnedAway()
    for peer in cluster.peers.values():
        peer.failure = STORE_DOWN
    for _ in range(10):
        assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(STORE_DOWN)
    assert sorted(cluster.called) == [LEADER] * 10 + [*PEERS]
    cluster.there.failure = None
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)


def test_a_job_that_one_of_two_may_have_stored_is_not_refused() -> None:
    cluster = TurnedAway(UNANSWERED)
    for peer in cluster.peers.values():
        peer.failure = STORE_DOWN
    failure = cluster.jobs.submit(JOB, TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_rejection_of_the_second_does_not_hide_the_doubt_of_the_first() -> (
    None
):
    """The first may have stored what the second one rejects."""
    cluster = TurnedAway(UNANSWERED)
    for peer in cluster.peers.values():
        peer.failure = REJECTED
    failure = cluster.jobs.submit(JOB, TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN


# The appends of 45 instances to one stream waited for each other for seconds.
def test_jobs_are_submitted_through_the_leader_where_it_is_preferred() -> None:
    cluster = leader_first(None)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.there.operations == [("submit", "0a")]
    assert cluster.here.operations == []
    assert cluster.here.accepted_ids == ["0a"]


def test_the_leader_stores_its_own_jobs_where_it_is_preferred() -> None:
    cluster = leader_first(None)
    assert cluster.jobs_at(LEADER).submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.here.operations == [("submit", "0a")]


@pytest.mark.parametrize("failure", [STORE_DOWN, UNANSWERED])
def test_a_job_that_the_leader_cannot_store_is_stored_here(
    failure: Failure,
) -> None:
    cluster = leader_first(None, failure)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)
    assert cluster.here.operations == [("submit", "0a")]


def test_a_job_that_the_leader_may_have_stored_is_never_called_refused() -> (
    None
):
    cluster = leader_first(STORE_DOWN, UNANSWERED)
    failure = cluster.jobs.submit(JOB, TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_job_that_the_leader_rejects_is_not_stored_here() -> None:
    cluster = leader_first(None, REJECTED)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Err(REJECTED)
    assert cluster.here.operations == []
