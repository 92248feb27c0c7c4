from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import MonotonicClock
from magnoliapitch.control import lease_renewer
from magnoliapitch.control.lease_renewer import LeaseRenewer
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from magnoliapitch.control.events import WorkerReported
    from magnoliapitch.verdict import Failure


SOON_S = 15.0
LONG_WAIT_MS = 60_000
END = EndedRun(5, TaskKey("job", 0, 0, 0), 1, EndKind.DONE)


class OneEnd:
    """A worker that lists an ended run until its end is acknowledged.

    :param lost_answer: number of the renewal whose answer is lost; 0 if none
        is.
    :ivar acknowledged: the sequence number that each renewal acknowledged.
    """

    def __init__(self, lost_answer: int = 0) -> None:
        self._lost_answer = lost_answer
        self.acknowledged: list[int] = []
        self._condition = threading.Condition()

    def renew(
        self,
        worker: WorkerInfo,
        token: int,
        deadline_ms: int | None,
        acknowledged_sequence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Result[WorkerReport, Failure]:
        del worker, token, deadline_ms, wait_ms, timeout_ms
        with self._condition:
            self.acknowledged.append(acknowledged_sequence)
            self._condition.notify_all()
            if len(self.acknowledged) == self._lost_answer:
                return Err(may_have_run(FailureCode.TIMEOUT, "lost"))
            if acknowledged_sequence >= END.sequence:
                self._condition.wait(0.05)
                return Ok(WorkerReport(1, (), ()))
        return Ok(WorkerReport(1, (), (END,)))

    def wait_for_renewals(self, count: int, timeout_s: float = SOON_S) -> bool:
        with self._condition:
            return self._condition.wait_for(
                lambda: len(self.acknowledged) >= count, timeout_s
            )


def make_renewer(
    worker: OneEnd,
    post: Callable[[WorkerReported], None] = lambda _: None,
) -> LeaseRenewer:
    """Return a renewer with the token 7 that grants leases until 1,000 ms."""
    return LeaseRenewer(
        WorkerInfo("w", "app", "10.0.0.1:1", "a", "r"),
        7,
        worker,  # type: ignore[arg-type]
        MonotonicClock(),
        lambda _: 1_000,
        post,
    )


# Guards against renewals that only repeat what was reported before.
def test_a_new_lease_alone_does_not_renew_before_the_ends_are_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An agent passes leases on long before the leader has stored an end."""
    monkeypatch.setattr(lease_renewer, "MAX_ACKNOWLEDGE_WAIT_MS", LONG_WAIT_MS)
    worker = OneEnd()
    renewer = make_renewer(worker)
    renewer.start()
    try:
        assert worker.wait_for_renewals(1)
        for _ in range(5):
            renewer.acknowledge(END.sequence - 1)
            worker.wait_for_renewals(2, 0.02)
        renewer.acknowledge(END.sequence)
        assert worker.wait_for_renewals(2)
        assert worker.acknowledged[:2] == [0, END.sequence]
    finally:
        renewer.stop()


class OneError(OneEnd):
    """A worker whose first report cannot be handled."""

    def renew(self, *arguments: Any) -> Result[WorkerReport, Failure]:
        outcome = super().renew(*arguments)
        if len(self.acknowledged) == 1:
            raise ValueError("unexpected")
        return outcome


# The thread ended, and the worker's lease expired with all that it ran.
def test_an_unexpected_error_does_not_end_the_renewals() -> None:
    worker = OneError()
    reports: list[WorkerReported] = []
    renewer = make_renewer(worker, reports.append)
    renewer.start()
    try:
        assert worker.wait_for_renewals(2)
        assert isinstance(reports[0].outcome, Err)
        assert reports[0].outcome.err_value.code is FailureCode.INTERNAL
    finally:
        renewer.stop()


class ResetConnections(OneEnd):
    """A worker that resets every connection."""

    def renew(self, *arguments: Any) -> Result[WorkerReport, Failure]:
        super().renew(*arguments)
        return Err(may_have_run(FailureCode.TIMEOUT, "reset by peer"))


# Workers that reset all connections looked like dead ones in the log.
def test_the_reason_of_a_failed_renewal_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[object] = []
    monkeypatch.setattr(
        lease_renewer, "log_event", lambda *_, **fields: logged.append(fields)
    )
    worker = ResetConnections()
    renewer = make_renewer(worker)
    renewer.start()
    try:
        assert worker.wait_for_renewals(3)
        assert logged == [
            {
                "worker": "w",
                "code": FailureCode.TIMEOUT,
                "reason": "reset by peer",
            }
        ]
    finally:
        renewer.stop()


# Incident TWICE: a worker that has restarted would forget its first ends.
def test_a_renewal_after_an_unanswered_one_acknowledges_nothing() -> None:
    worker = OneEnd(lost_answer=2)
    renewer = make_renewer(worker)
    renewer.acknowledge(END.sequence)
    renewer.start()
    try:
        assert worker.wait_for_renewals(4)
        assert worker.acknowledged[:4] == [
            0,
            END.sequence,
            0,
            END.sequence,
        ]
    finally:
        renewer.stop()


class Restarted(OneEnd):
    """A worker whose next incarnation answers.

    :ivar calls: token and deadline of each renewal.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[int, int | None]] = []

    def renew(self, *arguments: Any) -> Result[WorkerReport, Failure]:
        self.calls.append(arguments[1:3])
        super().renew(*arguments)
        return Err(may_have_run(FailureCode.RESTARTED, "another start"))


# Incident TWICE: orders to the former incarnation were carried out until the
# platform listed the next one.
def test_a_renewal_that_the_next_incarnation_answers_raises_the_token() -> (
    None
):
    worker = Restarted()
    renewer = make_renewer(worker)
    renewer.start()
    try:
        assert worker.wait_for_renewals(3)
        assert worker.calls[:3] == [(7, 1_000), (8, None), (8, None)]
    finally:
        renewer.stop()
