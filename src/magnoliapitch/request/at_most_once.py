"""Runs requests with a ticket or an idempotency key at most once.

Either names one incarnation, which alone dispatches the request: a ticket
by itself, a key by the first intent in the log. Other instances forward
to it; when it is gone the answer is ``may_have_run``, never a second run.
"""

from __future__ import annotations

import hashlib
import re

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.journal.record import RequestIntent
from magnoliapitch.request.once import OnceBook
from magnoliapitch.request.ticket import Ticket
from magnoliapitch.request.ticket import TicketOffice
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
    from magnoliapitch.request.dispatcher import Task

    Dispatch = Callable[[Task], Outcome]


LOG_AWAY_MS = 3_000
COMMIT_TIMEOUT_MS = 2_000
HOLDER_RETRY_MS = 1_000
HOP_MARGIN_MS = 20
KEY_KEPT_MS = 86_400_000

_KEY = re.compile(r"[!-~]{1,255}", re.ASCII)


class AtMostOnce:
    """Decides who runs a request that must not run twice, and runs it."""

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
        self._own = membership.identity.incarnation
        self._office = TicketOffice(self._own, clock)
        self._tickets = OnceBook(clock)
        self._keys = OnceBook(clock)

    def issue(self, entry: str) -> Ticket:
        """Return a ticket that this incarnation will run."""
        return self._office.issue(entry)

    def dump(self) -> dict[str, int]:
        """Return the counts of remembered requests."""
        return {"tickets": len(self._tickets), "keys": len(self._keys)}

    def run_ticket(self, task: Task, *, is_forwarded: bool) -> Outcome:
        """Run a request with a ticket, or let its issuer do it."""
        parsed = Ticket.parse(task.request.ticket)
        if isinstance(parsed, Err):
            return parsed
        ticket = parsed.ok_value
        if ticket.incarnation != self._own:
            return self._forward(task, ticket.incarnation, is_forwarded)
        refusal = self._office.check(ticket, task.entry.name)
        if refusal is not None:
            return Err(refusal)
        digest = _digest_of(task.request)
        refusal = self._tickets.open(ticket.nonce, digest, ticket.expires_ms)
        if refusal is not None:
            return Err(refusal)
        return self._tickets.run(
            ticket.nonce,
            digest,
            task.deadline_ms,
            lambda: self._dispatch(task),
        )

    def run_key(self, task: Task, *, is_forwarded: bool) -> Outcome:
        """Run a request with a key, or let the holder of the key do it."""
        request = task.request
        if not _KEY.fullmatch(request.key):
            return Err(
                not_run(
                    FailureCode.INVALID,
                    "a key is 1 to 255 visible ASCII characters",
                )
            )
        key = f"{request.entry}/{request.key}"
        if is_forwarded:
            return self._run_own(task, key)
        intent = self._intent(key)
        if intent is None:
            refusal = self._intend(task, key)
            if refusal is not None:
                return Err(refusal)
            intent = self._intent(key)
        if intent is None:
            return Err(_log_away("the log refused the key"))
        if intent.digest != _digest_of(request):
            return Err(
                not_run(
                    FailureCode.CONFLICT,
                    "the key was used before with another request",
                )
            )
        if intent.incarnation == self._own:
            return self._run_own(task, key)
        return self._forward(task, intent.incarnation, is_forwarded)

    def _run_own(self, task: Task, key: str) -> Outcome:
        return self._keys.run(
            key,
            _digest_of(task.request),
            task.deadline_ms,
            lambda: self._dispatch(task),
        )

    def _intent(self, key: str) -> RequestIntent | None:
        with self._journal.reading() as state:
            return state.intents_by_key.get(key)

    def _intend(self, task: Task, key: str) -> Failure | None:
        """Append an intent; the dispatch is left to the calling thread.

        An intent that is folded after this gave up leads to no dispatch:
        the key stays open here for a later attempt.
        """
        now_ms = self._clock.now_ms()
        read_ms = self._journal.last_caught_up_ms
        if read_ms is None or now_ms - read_ms > LOG_AWAY_MS:
            return _log_away("the log is away")
        digest = _digest_of(task.request)
        refusal = self._keys.open(key, digest, now_ms + KEY_KEPT_MS)
        if refusal is not None:
            return refusal
        entry = task.request.entry
        timeout_ms = min(COMMIT_TIMEOUT_MS, task.deadline_ms - now_ms)
        outcome = self._journal.commit(
            RequestIntent(key, entry, self._own, digest), timeout_ms
        )
        if isinstance(outcome, Err):
            return _log_away("the log has not confirmed the key")
        return None

    def _forward(self, task: Task, holder: str, is_forwarded: bool) -> Outcome:
        left_ms = task.deadline_ms - self._clock.now_ms()
        for peer in self._membership.peers():
            if peer.join.incarnation != holder or is_forwarded:
                continue
            request = task.request._replace(
                timeout_ms=max(left_ms - HOP_MARGIN_MS, 1)
            )
            address = peer.join.peer_address
            outcome = self._link.forward(address, request, max(left_ms, 1))
            if not _is_unreached(outcome):
                return outcome
            return Err(
                may_have_run(
                    FailureCode.UNAVAILABLE,
                    "the instance that may run it cannot be reached; "
                    "an earlier attempt may have run",
                    HOLDER_RETRY_MS,
                )
            )
        return Err(
            may_have_run(
                FailureCode.EXPIRED,
                "the instance that might have run it is gone",
            )
        )


def _digest_of(request: ForwardedRequest) -> str:
    return hashlib.sha256(request.body).hexdigest()


def _is_unreached(outcome: Outcome) -> bool:
    if not isinstance(outcome, Err):
        return False
    failure = outcome.err_value
    return (
        failure.verdict is Verdict.NOT_RUN
        and failure.code is FailureCode.UNAVAILABLE
        and failure.retry_after_ms is None
    )


def _log_away(what: str) -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE,
        f"{what}, so this attempt was not run; nothing is said about earlier "
        "attempts with this key. A new request can use a ticket instead "
        "(POST /v1/tickets/ENTRY), which needs no log",
        HOLDER_RETRY_MS,
    )
