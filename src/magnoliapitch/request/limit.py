"""Limits of catalogue entries on small requests.

Limits apply to the whole system. Each entry instance enforces its share: the
limit divided by the number of members in the log. The remainder goes, one
each, to the first members in an order that differs from entry to entry.
The shares add up to the limit whenever the members agree on the list, also
during a network partition: a member that is silent stays in the list until
the log records its departure.
"""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

from magnoliapitch.request.concurrency_limiter import ConcurrencyLimiter
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.membership import Membership


MEMBER_LIST_MAX_AGE_MS = 500
NO_SHARE_RETRY_AFTER_MS = 1_000


class TokenBucket:
    """Token bucket whose burst is limited to one second of the rate."""

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, rate_per_s: int, now_ms: int) -> None:
        self._tokens = float(rate_per_s)
        self._refilled_ms = now_ms

    def take(self, rate_per_s: int, now_ms: int) -> int:
        """Take a token if there is one.

        :param rate_per_s: tokens added per second.
        :return: 0 if a token was taken, else milliseconds until there is one.
        """
        gained = (now_ms - self._refilled_ms) * rate_per_s / 1000
        self._tokens = min(self._tokens + gained, float(rate_per_s))
        self._refilled_ms = now_ms
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return int((1 - self._tokens) * 1000 / rate_per_s) + 1


class _MemberList(NamedTuple):
    """Incarnations of all members, and when they were read."""

    members: tuple[str, ...]
    read_ms: int


class RequestLimits:
    """Admits requests within this instance's share of the limits."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._limiters_by_entry: dict[str, ConcurrencyLimiter] = {}
        self._buckets_by_entry: dict[str, TokenBucket] = {}
        self._member_list: _MemberList | None = None

    def admit(self, entry: CatalogueEntry, deadline_ms: int) -> Failure | None:
        """Wait until a request may run; ``finish`` must follow.

        :param deadline_ms: local monotonic time, in milliseconds, by which
            the request has to be finished.
        :return: why the request is refused, if it is; ``finish`` must not
            be called then.
        """
        now_ms = self._clock.now_ms()
        members = self._members(now_ms)
        limits = entry.limits
        max_running = self._share_of(
            entry.name, limits.concurrent_requests, members
        )
        rate_per_s = self._share_of(
            entry.name, limits.requests_per_second, members
        )
        if not max_running or not rate_per_s:
            return _quota_failure(
                f"this instance has no share of the limits of {entry.name}; "
                "send the request to another instance",
                NO_SHARE_RETRY_AFTER_MS,
            )
        with self._lock:
            bucket = self._buckets_by_entry.get(entry.name)
            if bucket is None:
                bucket = TokenBucket(rate_per_s, now_ms)
                self._buckets_by_entry[entry.name] = bucket
            retry_after_ms = bucket.take(rate_per_s, now_ms)
        if retry_after_ms:
            return _quota_failure(
                f"{entry.name}: this instance's share of the limit of "
                f"{limits.requests_per_second} requests per second is used up",
                retry_after_ms,
            )
        return self._limiter(entry.name).acquire(
            entry, max_running, deadline_ms
        )

    def finish(self, entry: CatalogueEntry, duration_ms: int) -> None:
        """Note the end of an admitted request and let the next one run."""
        self._limiter(entry.name).release(duration_ms)

    def dump(self) -> dict[str, object]:
        """Return the limits' part of the state dump."""
        with self._lock:
            limiters = tuple(self._limiters_by_entry.items())
        return {name: limiter.dump() for name, limiter in limiters}

    def _limiter(self, name: str) -> ConcurrencyLimiter:
        with self._lock:
            limiter = self._limiters_by_entry.get(name)
            if limiter is None:
                limiter = ConcurrencyLimiter(self._clock)
                self._limiters_by_entry[name] = limiter
            return limiter

    def _members(self, now_ms: int) -> tuple[str, ...]:
        member_list = self._member_list
        if (
            member_list is None
            or now_ms - member_list.read_ms >= MEMBER_LIST_MAX_AGE_MS
        ):
            others = [
                peer.join.incarnation for peer in self._membership.peers()
            ]
            own = self._membership.identity.incarnation
            member_list = _MemberList((own, *others), now_ms)
            self._member_list = member_list
        return member_list.members

    def _share_of(
        self, name: str, limit: int, members: tuple[str, ...]
    ) -> int:
        base, remainder = divmod(limit, len(members))
        if not remainder:
            return base
        order = sorted(
            members,
            key=lambda incarnation: xxhash.xxh64_intdigest(
                f"{name}/{incarnation}".encode()
            ),
        )
        own = self._membership.identity.incarnation
        return base + (order.index(own) < remainder)


def _quota_failure(detail: str, retry_after_ms: int) -> Failure:
    return not_run(FailureCode.QUOTA, detail, retry_after_ms)
