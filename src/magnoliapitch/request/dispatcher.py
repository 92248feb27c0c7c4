"""Sends requests to the own backend servers or to a peer that owns some."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.event import log_event
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.request.retry import RetryBudget
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.backend.client import BackendAnswer
    from magnoliapitch.backend.client import BackendClient
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.request.peer_selector import Candidate
    from magnoliapitch.request.peer_selector import PeerChoice
    from magnoliapitch.request.slot_pool import SlotPool


ATTEMPTS_MAX = 4
NO_OWNER_RETRY_MS = 1_000
HOP_MARGIN_MS = 20

Outcome = Result[ForwardedAnswer, Failure]


class Task(NamedTuple):
    """A request with what the dispatcher has to know of it.

    :param deadline_ms: local monotonic time of the final answer.
    :param may_forward: whether a peer may execute it.
    """

    entry: CatalogueEntry
    request: ForwardedRequest
    deadline_ms: int
    may_forward: bool


class _Attempt(NamedTuple):
    outcome: Outcome
    is_final: bool = False


class Dispatcher:
    """Executes a request once, or more often if that is harmless."""

    def __init__(
        self,
        pool: SlotPool,
        peers: PeerChoice,
        backends: BackendClient,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._backends = backends
        self._link = link
        self._clock = clock
        self._budget = RetryBudget()

    def dispatch(self, task: Task) -> Outcome:
        """Execute a request and return its one answer."""
        self._budget.deposit()
        is_uncertain = False
        for _ in range(ATTEMPTS_MAX):
            attempt = self._attempt(task)
            if isinstance(attempt.outcome, Ok):
                return attempt.outcome
            failure = attempt.outcome.err_value
            if failure.verdict is not Verdict.NOT_RUN:
                is_uncertain = True
            if attempt.is_final or not self._may_retry(task, failure):
                break
        if is_uncertain and failure.verdict is Verdict.NOT_RUN:
            failure = failure._replace(verdict=Verdict.MAY_HAVE_RUN)
        return Err(failure)

    def _may_retry(self, task: Task, failure: Failure) -> bool:
        is_harmless = (
            failure.verdict is Verdict.NOT_RUN or task.entry.idempotent
        )
        return (
            is_harmless and self._left_ms(task) > 0 and self._budget.withdraw()
        )

    def _attempt(self, task: Task) -> _Attempt:
        app = task.entry.app
        server = self._pool.try_acquire(task.entry)
        if server is not None:
            return self._send(task, server)
        if task.may_forward:
            peer = self._peers.with_free_slots(app)
            if peer is not None:
                return self._forward(task, peer)
        if self._pool.has_servers(app):
            return self._wait_and_send(task)
        if task.may_forward:
            peer = self._peers.any_owner(app)
            if peer is not None:
                return self._forward(task, peer)
        return _Attempt(
            Err(
                not_run(
                    FailureCode.UNAVAILABLE,
                    f"no reachable owner of backend servers of {app!r}",
                    NO_OWNER_RETRY_MS,
                )
            ),
            is_final=True,
        )

    def _wait_and_send(self, task: Task) -> _Attempt:
        joined = self._pool.wait(task.entry, task.deadline_ms)
        if isinstance(joined, Err):
            return _Attempt(joined, is_final=True)
        waiter = joined.ok_value
        peer: Candidate | None = None
        while waiter.server is None and peer is None:
            if not self._pool.poll(waiter):
                break
            if task.may_forward and waiter.server is None:
                peer = self._peers.with_free_slots(task.entry.app)
        if waiter.server is None:
            refusal = self._pool.leave(waiter)
            if refusal is not None and peer is not None:
                return self._forward(task, peer)
            if refusal is not None:
                return _Attempt(Err(refusal), is_final=True)
        assert waiter.server is not None
        return self._send(task, waiter.server)

    def _send(self, task: Task, server: InstanceInfo) -> _Attempt:
        started_ms = self._clock.now_ms()
        timeout_ms = task.deadline_ms - started_ms
        if timeout_ms <= 0:
            self._pool.release(server, None, started_ms, 0)
            return _Attempt(Err(_out_of_time()), is_final=True)
        request = task.request
        answered = self._call(
            server,
            BackendRequest(
                request.request_id, request.entry, request.body, timeout_ms
            ),
        )
        self._pool.release(server, answered, started_ms, timeout_ms)
        return _Attempt(
            answered.map(
                lambda answer: ForwardedAnswer(
                    request.request_id,
                    answer.status,
                    answer.body,
                    answer.content_type,
                )
            )
        )

    def _call(
        self, server: InstanceInfo, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        try:
            return self._backends.send(server, request)
        except Exception as error:
            log_event(
                "backend-call-failed", server=server.instance_id, error=error
            )
            return Err(may_have_run(FailureCode.BAD_ANSWER, repr(error)))

    def _forward(self, task: Task, peer: Candidate) -> _Attempt:
        left_ms = self._left_ms(task)
        if left_ms <= HOP_MARGIN_MS:
            return _Attempt(Err(_out_of_time()), is_final=True)
        self._peers.use(peer)
        plain = task.request._replace(
            timeout_ms=left_ms - HOP_MARGIN_MS, ticket="", key=""
        )
        outcome = self._link.forward(peer.address, plain, left_ms)
        if isinstance(outcome, Err):
            self._peers.avoid(peer)
        return _Attempt(outcome)

    def _left_ms(self, task: Task) -> int:
        return task.deadline_ms - self._clock.now_ms()


def _out_of_time() -> Failure:
    return not_run(
        FailureCode.TIMEOUT, "the caller's patience ended before dispatch"
    )
