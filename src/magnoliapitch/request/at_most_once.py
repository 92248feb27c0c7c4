"""Runs requests with a ticket or an idempotency key at most once.

Each of them belongs to one holder, the only incarnation that may dispatch
the request. A ticket contains the incarnation that issued it; the holder of
a key is the incarnation of the first ``RequestIntent`` for it in the log.
Other instances forward the request to the holder. If the holder is gone,
the caller gets ``may_have_run``, and the request is never dispatched again.
"""

from __future__ import annotations

import hashlib
import re

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.journal.record import RequestIntent
from magnoliapitch.request.dispatcher import FORWARD_MARGIN_MS
from magnoliapitch.request.execution_registry import ExecutionRegistry
from magnoliapitch.request.ticket import Ticket
from magnoliapitch.request.ticket import TicketIssuer
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.membership import Membership
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.peer.message import ForwardedRequest
    from magnoliapitch.request.dispatcher import Outcome
    from magnoliapitch.request.dispatcher import RoutedRequest

    Dispatch = Callable[[RoutedRequest], Outcome]


INTENT_LOG_MAX_AGE_MS = 3_000
COMMIT_TIMEOUT_MS = 2_000
HOLDER_RETRY_AFTER_MS = 1_000
KEY_RETENTION_MS = 86_400_000  # 24 hours

_KEY_PATTERN = re.compile(r"[!-~]{1,255}", re.ASCII)


class AtMostOnceExecutor:
    """Runs a ticketed or keyed request, or forwards it to its holder.

    :param dispatch: sends a request to a backend server.
    """

    def __init__(
        self,
        journal: Journal,
        membership: Membership,
        link: PeerLink,
        clock: Clock,
        dispatch: Dispatch,
    ) -> None:
        self._journal = journal
        self._membership = membership
        self._link = link
        self._clock = clock
        self._dispatch = dispatch
        self._own_incarnation = membership.identity.incarnation
        self._ticket_issuer = TicketIssuer(self._own_incarnation, clock)
        self._ticket_executions = ExecutionRegistry(clock)
        self._key_executions = ExecutionRegistry(clock)

    def issue(self, entry: str) -> Ticket:
        """Return a new ticket whose holder is this incarnation.

        :param entry: name of the catalogue entry that it is valid for.
        """
        return self._ticket_issuer.issue(entry)

    def dump(self) -> dict[str, int]:
        """Return the number of remembered tickets and keys."""
        return {
            "tickets": len(self._ticket_executions),
            "keys": len(self._key_executions),
        }

    def run_ticket(
        self, routed: RoutedRequest, *, is_forwarded: bool
    ) -> Outcome:
        """Run a request with a ticket, or forward it to the issuer.

        :param is_forwarded: whether a peer sent the request; it is not
            forwarded a second time.
        """
        parsed = Ticket.parse(routed.request.ticket)
        if isinstance(parsed, Err):
            return parsed
        ticket = parsed.ok_value
        if ticket.incarnation != self._own_incarnation:
            return self._forward(routed, ticket.incarnation, is_forwarded)
        refusal = self._ticket_issuer.check(ticket, routed.entry.name)
        if refusal is not None:
            return Err(refusal)
        digest = _digest_of(routed.request)
        refusal = self._ticket_executions.register(
            ticket.nonce, digest, ticket.expires_ms
        )
        if refusal is not None:
            return Err(refusal)
        return self._ticket_executions.run(
            ticket.nonce,
            digest,
            routed.deadline_ms,
            lambda: self._dispatch(routed),
        )

    def run_key(self, routed: RoutedRequest, *, is_forwarded: bool) -> Outcome:
        """Run a request with a key, or forward it to the key's holder.

        :param is_forwarded: whether a peer sent the request; this instance
            then runs it only if its own registry has the key.
        """
        request = routed.request
        if not _KEY_PATTERN.fullmatch(request.key):
            return Err(
                not_run(
                    FailureCode.INVALID,
                    "the idempotency key must be 1 to 255 visible ASCII "
                    "characters",
                )
            )
        key = f"{request.entry}/{request.key}"
        if is_forwarded:
            return self._run_as_holder(routed, key)
        intent = self._recorded_intent(key)
        if intent is None:
            refusal = self._append_intent(routed, key)
            if refusal is not None:
                return Err(refusal)
            intent = self._recorded_intent(key)
        if intent is None:
            return Err(
                _log_unavailable("the log rejected the idempotency key")
            )
        if intent.digest != _digest_of(request):
            return Err(
                not_run(
                    FailureCode.CONFLICT,
                    "the idempotency key was used before with another "
                    "request body",
                )
            )
        if intent.incarnation == self._own_incarnation:
            return self._run_as_holder(routed, key)
        return self._forward(routed, intent.incarnation, is_forwarded)

    def _run_as_holder(self, routed: RoutedRequest, key: str) -> Outcome:
        return self._key_executions.run(
            key,
            _digest_of(routed.request),
            routed.deadline_ms,
            lambda: self._dispatch(routed),
        )

    def _recorded_intent(self, key: str) -> RequestIntent | None:
        with self._journal.locked_state() as state:
            return state.intents_by_key.get(key)

    def _append_intent(
        self, routed: RoutedRequest, key: str
    ) -> Failure | None:
        """Append an intent that makes this incarnation the key's holder.

        Only the calling thread dispatches the request. If the intent is
        applied after this method has timed out, nothing is dispatched, and
        the key stays registered here for a later attempt.

        :return: why the request cannot run, or nothing if the intent was
            applied.
        """
        now_ms = self._clock.now_ms()
        caught_up_ms = self._journal.last_caught_up_ms
        if (
            caught_up_ms is None
            or now_ms - caught_up_ms > INTENT_LOG_MAX_AGE_MS
        ):
            return _log_unavailable(
                "no complete read of the log in the last "
                f"{INTENT_LOG_MAX_AGE_MS} ms"
            )
        digest = _digest_of(routed.request)
        refusal = self._key_executions.register(
            key, digest, now_ms + KEY_RETENTION_MS
        )
        if refusal is not None:
            return refusal
        entry = routed.request.entry
        timeout_ms = min(COMMIT_TIMEOUT_MS, routed.deadline_ms - now_ms)
        outcome = self._journal.commit(
            RequestIntent(key, entry, self._own_incarnation, digest),
            timeout_ms,
        )
        if isinstance(outcome, Err):
            return _log_unavailable(
                f"the log did not confirm the key within {timeout_ms} ms"
            )
        return None

    def _forward(
        self, routed: RoutedRequest, holder: str, is_forwarded: bool
    ) -> Outcome:
        remaining_ms = routed.deadline_ms - self._clock.now_ms()
        for peer in self._membership.peers():
            if peer.join.incarnation != holder or is_forwarded:
                continue
            request = routed.request._replace(
                timeout_ms=max(remaining_ms - FORWARD_MARGIN_MS, 1)
            )
            address = peer.join.peer_address
            outcome = self._link.forward(
                address, request, max(remaining_ms, 1)
            )
            if not _is_peer_unreachable(outcome):
                return outcome
            return Err(
                may_have_run(
                    FailureCode.UNAVAILABLE,
                    "the only instance that may run the request cannot be "
                    "reached; an earlier attempt may have run",
                    HOLDER_RETRY_AFTER_MS,
                )
            )
        return Err(
            may_have_run(
                FailureCode.EXPIRED,
                "the only instance that may run the request is gone; "
                "an earlier attempt may have run",
            )
        )


def _digest_of(request: ForwardedRequest) -> str:
    return hashlib.sha256(request.body).hexdigest()


def _is_peer_unreachable(outcome: Outcome) -> bool:
    if not isinstance(outcome, Err):
        return False
    failure = outcome.err_value
    return (
        failure.verdict is Verdict.NOT_RUN
        and failure.code is FailureCode.UNAVAILABLE
        and failure.retry_after_ms is None
    )


def _log_unavailable(reason: str) -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE,
        f"{reason}; this attempt was not run, but earlier attempts with "
        "this key may have run. A new request can use a ticket instead "
        "(POST /v1/tickets/ENTRY), which does not need the log",
        HOLDER_RETRY_AFTER_MS,
    )
