"""Sends requests to owned backend servers or to a peer that owns some."""

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
    from magnoliapitch.backend.client import BackendClient
    from magnoliapitch.backend.client import BackendResponse
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.request.peer_selector import Candidate
    from magnoliapitch.request.peer_selector import PeerSelector
    from magnoliapitch.request.slot_pool import SlotPool


MAX_ATTEMPTS = 4
NO_OWNER_RETRY_AFTER_MS = 1_000
FORWARD_MARGIN_MS = 20  # for the way to the peer and back

Outcome = Result[ForwardedAnswer, Failure]


class RoutedRequest(NamedTuple):
    """A request with its catalogue entry, deadline and routing.

    :param deadline_ms: local monotonic time by which the caller must be
        answered, in milliseconds.
    :param may_forward: whether it may be forwarded to a peer.
    """

    entry: CatalogueEntry
    request: ForwardedRequest
    deadline_ms: int
    may_forward: bool


class _Attempt(NamedTuple):
    """Result of one attempt.

    :param is_final: whether no retry may follow, whatever the failure.
    """

    outcome: Outcome
    is_final: bool = False


class Dispatcher:
    """Executes requests, and retries those that are safe to repeat.

    A retry follows only if the failed attempt was not run or the entry is
    idempotent, if time is left, and if the retry budget allows it.
    """

    def __init__(
        self,
        pool: SlotPool,
        peers: PeerSelector,
        backends: BackendClient,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._backends = backends
        self._link = link
        self._clock = clock
        self._retry_budget = RetryBudget()

    def dispatch(self, routed: RoutedRequest) -> Outcome:
        """Execute a request and return its final outcome.

        The verdict of a failure covers all attempts: it is
        ``may_have_run`` if any of them may have run.
        """
        self._retry_budget.deposit()
        may_have_run_before = False
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(routed)
            if isinstance(attempt.outcome, Ok):
                return attempt.outcome
            failure = attempt.outcome.err_value
            if failure.verdict is not Verdict.NOT_RUN:
                may_have_run_before = True
            if attempt.is_final or not self._may_retry(routed, failure):
                break
        if may_have_run_before and failure.verdict is Verdict.NOT_RUN:
            failure = failure._replace(verdict=Verdict.MAY_HAVE_RUN)
        return Err(failure)

    def _may_retry(self, routed: RoutedRequest, failure: Failure) -> bool:
        is_harmless = (
            failure.verdict is Verdict.NOT_RUN or routed.entry.idempotent
        )
        return (
            is_harmless
            and self._remaining_ms(routed) > 0
            and self._retry_budget.withdraw()
        )

    def _attempt(self, routed: RoutedRequest) -> _Attempt:
        app = routed.entry.app
        server = self._pool.try_acquire(routed.entry)
        if server is not None:
            return self._send(routed, server)
        if routed.may_forward:
            peer = self._peers.best_with_free_slots(app)
            if peer is not None:
                return self._forward(routed, peer)
        if self._pool.has_servers(app):
            return self._wait_and_send(routed)
        if routed.may_forward:
            peer = self._peers.best_owner(app)
            if peer is not None:
                return self._forward(routed, peer)
        return _Attempt(
            Err(
                not_run(
                    FailureCode.UNAVAILABLE,
                    f"no reachable instance owns a backend server of {app!r}",
                    NO_OWNER_RETRY_AFTER_MS,
                )
            ),
            is_final=True,
        )

    def _wait_and_send(self, routed: RoutedRequest) -> _Attempt:
        queued = self._pool.enqueue(routed.entry, routed.deadline_ms)
        if isinstance(queued, Err):
            return _Attempt(queued, is_final=True)
        waiting = queued.ok_value
        peer: Candidate | None = None
        while waiting.server is None and peer is None:
            if not self._pool.wait_for_slot(waiting):
                break
            if routed.may_forward and waiting.server is None:
                peer = self._peers.best_with_free_slots(routed.entry.app)
        if waiting.server is None:
            refusal = self._pool.withdraw(waiting)
            if refusal is not None and peer is not None:
                return self._forward(routed, peer)
            if refusal is not None:
                return _Attempt(Err(refusal), is_final=True)
        assert waiting.server is not None
        return self._send(routed, waiting.server)

    def _send(self, routed: RoutedRequest, server: InstanceInfo) -> _Attempt:
        started_ms = self._clock.now_ms()
        timeout_ms = routed.deadline_ms - started_ms
        if timeout_ms <= 0:
            self._pool.release(server, None, started_ms, 0)
            return _Attempt(Err(_deadline_exceeded()), is_final=True)
        request = routed.request
        answer_result = self._call(
            server,
            BackendRequest(
                request.request_id, request.entry, request.body, timeout_ms
            ),
        )
        self._pool.release(server, answer_result, started_ms, timeout_ms)
        return _Attempt(
            answer_result.map(
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
    ) -> Result[BackendResponse, Failure]:
        try:
            return self._backends.send(server, request)
        except Exception as error:
            log_event(
                "backend-call-failed", server=server.instance_id, error=error
            )
            return Err(may_have_run(FailureCode.BAD_RESPONSE, repr(error)))

    def _forward(self, routed: RoutedRequest, peer: Candidate) -> _Attempt:
        remaining_ms = self._remaining_ms(routed)
        if remaining_ms <= FORWARD_MARGIN_MS:
            return _Attempt(Err(_deadline_exceeded()), is_final=True)
        self._peers.note_forwarded(peer)
        forwarded = routed.request._replace(
            timeout_ms=remaining_ms - FORWARD_MARGIN_MS, ticket="", key=""
        )
        outcome = self._link.forward(peer.address, forwarded, remaining_ms)
        if isinstance(outcome, Err):
            self._peers.avoid(peer)
        return _Attempt(outcome)

    def _remaining_ms(self, routed: RoutedRequest) -> int:
        return routed.deadline_ms - self._clock.now_ms()


def _deadline_exceeded() -> Failure:
    return not_run(
        FailureCode.TIMEOUT,
        "the request's timeout elapsed before it was dispatched",
    )
