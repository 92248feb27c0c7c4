"""Limits of catalogue entries on small requests.

Limits hold for the whole system. Each entry instance enforces its share:
the limit divided by the instances that the log names as members, the rest
going to the first of them in an order that differs from entry to entry.
The shares add up to the limit whenever members agree on the list, cut off
or not, because silence does not remove a member; only its departure in
the log does.
"""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

from magnoliapitch.request.concurrency_limiter import ConcurrencyGate
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.membership import Membership


MEMBERS_AGE_MS = 500
SHARE_RETRY_MS = 1_000


class TokenBucket:
    """Allows a rate with bursts of at most one second of it."""

    __slots__ = ("_filled_ms", "_tokens")

    def __init__(self, rate: int, now_ms: int) -> None:
        self._tokens = float(rate)
        self._filled_ms = now_ms

    def take(self, rate: int, now_ms: int) -> int:
        """Take a token.

        :param rate: tokens a second.
        :return: milliseconds until there is one, 0 if it was taken.
        """
        gained = (now_ms - self._filled_ms) * rate / 1000
        self._tokens = min(self._tokens + gained, float(rate))
        self._filled_ms = now_ms
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return int((1 - self._tokens) * 1000 / rate) + 1


class _Share(NamedTuple):
    members: tuple[str, ...]
    read_ms: int


class RequestLimits:
    """Admits requests within this instance's share of the limits."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._gates_by_entry: dict[str, ConcurrencyGate] = {}
        self._buckets_by_entry: dict[str, TokenBucket] = {}
        self._share: _Share | None = None

    def admit(self, entry: CatalogueEntry, deadline_ms: int) -> Failure | None:
        """Wait for permission to proceed; ``finish`` gives it back.

        :return: why the request is refused, if it is.
        """
        now_ms = self._clock.now_ms()
        members = self._members(now_ms)
        limits = entry.limits
        most = self._share_of(entry.name, limits.concurrent_requests, members)
        rate = self._share_of(entry.name, limits.requests_per_second, members)
        if not most or not rate:
            return _refused(
                f"this instance has no share of the limits of {entry.name}",
                SHARE_RETRY_MS,
            )
        with self._lock:
            bucket = self._buckets_by_entry.get(entry.name)
            if bucket is None:
                bucket = TokenBucket(rate, now_ms)
                self._buckets_by_entry[entry.name] = bucket
            retry_ms = bucket.take(rate, now_ms)
        if retry_ms:
            return _refused(
                f"{entry.name} exceeds its rate of "
                f"{limits.requests_per_second} requests a second",
                retry_ms,
            )
        return self._gate(entry.name).enter(entry, most, deadline_ms)

    def finish(self, entry: CatalogueEntry, duration_ms: int) -> None:
        """Let the next request of an entry proceed."""
        self._gate(entry.name).leave(duration_ms)

    def dump(self) -> dict[str, object]:
        """Return the limits' part of the state dump."""
        with self._lock:
            gates = tuple(self._gates_by_entry.items())
        return {name: gate.dump() for name, gate in gates}

    def _gate(self, name: str) -> ConcurrencyGate:
        with self._lock:
            gate = self._gates_by_entry.get(name)
            if gate is None:
                gate = ConcurrencyGate(self._clock)
                self._gates_by_entry[name] = gate
            return gate

    def _members(self, now_ms: int) -> tuple[str, ...]:
        share = self._share
        if share is None or now_ms - share.read_ms >= MEMBERS_AGE_MS:
            others = [
                peer.join.incarnation for peer in self._membership.peers()
            ]
            own = self._membership.identity.incarnation
            share = _Share((own, *others), now_ms)
            self._share = share
        return share.members

    def _share_of(
        self, name: str, limit: int, members: tuple[str, ...]
    ) -> int:
        whole, rest = divmod(limit, len(members))
        if not rest:
            return whole
        order = sorted(
            members,
            key=lambda item: xxhash.xxh64_intdigest(f"{name}/{item}".encode()),
        )
        own = self._membership.identity.incarnation
        return whole + (order.index(own) < rest)


def _refused(detail: str, retry_ms: int) -> Failure:
    return not_run(FailureCode.QUOTA, detail, retry_ms)
