from __future__ import annotations

import time

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.clock import ManualClock
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.request.ticket import TICKET_TTL_MS
from magnoliapitch.standin.backend import BackendFault
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from tests.request.conftest import PATIENCE_MS
from tests.request.conftest import RequestClusterShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.request.dispatcher import Outcome
    from tests.request.conftest import RequestCluster

    MakeCluster = Callable[..., RequestCluster]


ENTRY = "fee-match"
TWO_ZONES = RequestClusterShape(("norte", "centro"))
JOIN_TIMEOUT_S = 30
RESPONSE_LOST = BackendFault.TRUNCATE_RESPONSE


def _ticket(cluster: RequestCluster, core: int = 0, entry: str = ENTRY) -> str:
    return str(cluster.cores[core].router.issue_ticket(entry).unwrap())


def _send(
    cluster: RequestCluster, core: int, number: int = 1, **fields: str
) -> Outcome:
    request = cluster.request(number, ENTRY, **fields)
    return cluster.cores[core].router.execute(request)


def _run_count(cluster: RequestCluster) -> int:
    return len(cluster.backends.history)


def _log_head(cluster: RequestCluster) -> int:
    return cluster.standins.log.read(0, 1).unwrap().head


def _remove_instance(cluster: RequestCluster, core: int) -> None:
    identity = cluster.cores[core].identity
    record = encode_record((MemberLeave(identity.incarnation),))
    cluster.standins.log.append(record)
    cluster.cores.pop(core)
    cluster.settle()


def test_ticket_runs_once_through_any_entry(make_cluster: MakeCluster) -> None:
    cluster = make_cluster(TWO_ZONES)
    ticket = _ticket(cluster)
    answers = [
        _send(cluster, core, ticket=ticket).unwrap() for core in (1, 0, 1)
    ]
    assert answers[0] == answers[1] == answers[2]
    assert _run_count(cluster) == 1


def test_ticket_reports_may_have_run_after_a_lost_answer(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster(TWO_ZONES)
    ticket = _ticket(cluster)
    cluster.backends.add_fault("norte-runner-1", RESPONSE_LOST)
    for core in (0, 1, 0):
        failure = _send(cluster, core, ticket=ticket).unwrap_err()
        assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert _run_count(cluster) == 1


def test_ticket_that_was_not_run_can_be_used_again(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster()
    ticket = _ticket(cluster)
    cluster.backends.leaving.add("norte-runner-1")
    failure = _send(cluster, 0, ticket=ticket).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    cluster.backends.leaving.clear()
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(100_000)
    cluster.settle()
    _send(cluster, 0, ticket=ticket).unwrap()
    assert _run_count(cluster) == 1


@pytest.mark.parametrize("how", ["left", "unreachable"])
def test_ticket_of_a_lost_issuer_is_never_run_elsewhere(
    make_cluster: MakeCluster, how: str
) -> None:
    cluster = make_cluster(TWO_ZONES)
    ticket = _ticket(cluster, core=1)
    if how == "left":
        _remove_instance(cluster, 1)
    else:
        cluster.network.blocked_links.add(("10.0.0.1:8082", "10.0.0.2:8082"))
    failure = _send(cluster, 0, ticket=ticket).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert _run_count(cluster) == 0


def test_ticket_runs_while_the_log_is_down(make_cluster: MakeCluster) -> None:
    cluster = make_cluster(TWO_ZONES)
    cluster.standins.log.down = True
    _send(cluster, 0, ticket=_ticket(cluster)).unwrap()


def test_ticket_is_bound_to_entry_body_and_time(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster()
    ticket = _ticket(cluster)
    other = _ticket(cluster, entry="seat-check")
    _send(cluster, 0, ticket=ticket).unwrap()
    for number, text, code in (
        (2, ticket, FailureCode.CONFLICT),
        (1, other, FailureCode.INVALID),
        (1, ticket[:-1] + "x", FailureCode.INVALID),
        (1, "nonsense", FailureCode.INVALID),
        (1, "a.b.1x.c", FailureCode.INVALID),
    ):
        failure = _send(cluster, 0, number, ticket=text).unwrap_err()
        assert (failure.verdict, failure.code) == (Verdict.NOT_RUN, code)
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(TICKET_TTL_MS)
    cluster.settle()
    failure = _send(cluster, 0, ticket=ticket).unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert _run_count(cluster) == 1


def test_ticket_and_key_together_are_refused(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster()
    failure = _send(cluster, 0, ticket=_ticket(cluster), key="k").unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN


def test_key_runs_once_through_any_entry(make_cluster: MakeCluster) -> None:
    cluster = make_cluster(TWO_ZONES, threads=True)
    cluster.run_in_background()
    cluster.backends.duration_ms = 20
    outcomes: list[Outcome] = []
    threads = [
        cluster.spawn(
            lambda core=number % 2: outcomes.append(  # type: ignore[misc]
                _send(cluster, core, key="k1")
            )
        )
        for number in range(8)
    ]
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
    assert len({outcome.unwrap().body for outcome in outcomes}) == 1
    assert _run_count(cluster) == 1
    failure = _send(cluster, 1, number=2, key="k1").unwrap_err()
    assert failure.code is FailureCode.CONFLICT
    assert failure.verdict is Verdict.NOT_RUN
    _send(cluster, 1, number=2, key="k2").unwrap()


def test_key_that_timed_out_is_not_run_when_its_intent_is_applied_late(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster(TWO_ZONES, threads=True)
    outcomes: list[Outcome] = []
    head = _log_head(cluster)
    attempt = cluster.spawn(
        lambda: outcomes.append(_send(cluster, 0, key="k"))
    )
    while _log_head(cluster) == head:
        cluster.cores[0].journal.append_step()
    attempt.join(JOIN_TIMEOUT_S)
    failure = outcomes[0].unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert "/v1/tickets" in failure.detail
    cluster.run_in_background()
    scoped_key = f"{ENTRY}/k"

    def is_intent_applied() -> bool:
        with cluster.cores[1].journal.locked_state() as state:
            return scoped_key in state.intents_by_key

    for _ in range(1_000):
        if is_intent_applied():
            break
        time.sleep(0.02)
    assert is_intent_applied()
    assert _run_count(cluster) == 0
    _send(cluster, 1, key="k").unwrap()
    _send(cluster, 0, key="k").unwrap()
    assert _run_count(cluster) == 1


def test_key_is_refused_at_once_while_the_log_is_down(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster()
    cluster.standins.log.down = True
    assert isinstance(cluster.clock, ManualClock)
    cluster.clock.advance(10 * PATIENCE_MS)
    cluster.settle()
    failure = _send(cluster, 0, key="k").unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms


def test_key_of_a_lost_holder_is_never_run_elsewhere(
    make_cluster: MakeCluster,
) -> None:
    cluster = make_cluster(TWO_ZONES, threads=True)
    cluster.run_in_background()
    cluster.backends.add_fault("centro-runner-1", RESPONSE_LOST)
    failure = _send(cluster, 1, key="k").unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert _send(cluster, 0, key="k").unwrap_err() == failure
    cluster.stop()
    _remove_instance(cluster, 1)
    failure = _send(cluster, 0, key="k").unwrap_err()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert _run_count(cluster) == 1
