"""Successive owners of workers: claim leases, grants and restarts.

Two protocols share the steps. In the first, one worker has room for one
task and each owner wants to run a task of its own. In the second, the owners
want to run the same task, on any of two workers.

An owner decides on a view of one worker at once; that it may pause before it
sends is the same as a message that stays in flight, for any time or for
ever. Clocks of workers advance independently, and expiries are compared only
on the worker's clock. docs/design/ownership.md names the function behind
each step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.spec.claim_state import NONE
from magnoliapitch.spec.claim_state import Attempt
from magnoliapitch.spec.claim_state import Bounds
from magnoliapitch.spec.claim_state import Guards
from magnoliapitch.spec.claim_state import Known
from magnoliapitch.spec.claim_state import Lease
from magnoliapitch.spec.claim_state import Message
from magnoliapitch.spec.claim_state import Owner
from magnoliapitch.spec.claim_state import Start
from magnoliapitch.spec.claim_state import State
from magnoliapitch.spec.claim_state import Step
from magnoliapitch.spec.claim_state import Worker


if TYPE_CHECKING:
    from collections.abc import Iterator


class ClaimSpec:
    """Transitions of the protocol under some guards."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def initial(self) -> State:
        """Return the state in which the first owner places its claim."""
        count = self._bounds.workers
        if self._bounds.start is not Start.EARLY:
            return self._initial_late()
        known = (Known(),) * count
        owners = [Owner(1, (Known(0),) * count)]
        owners += [Owner(0, known)] * (self._bounds.owners - 1)
        lease = Lease(0, 0, self._bounds.ttl)
        messages = tuple(
            Message(number, 0, "place", lease) for number in range(count)
        )
        return State(1, tuple(owners), (Worker(),) * count, messages)

    def _initial_late(self) -> State:
        ttl = self._bounds.ttl
        was_open = Known(0, 0, 0, was_open=True)
        settling = Known(0, ttl - 1, 2 * ttl - 1)
        first = Owner(1, (was_open,) * 2)
        settled = Worker(ttl, claims=(Lease(1, 0, ttl + 1),))
        placed = Worker(ttl, claims=(Lease(1, ttl - 1, ttl + 1),))
        if self._bounds.start is Start.BUSY:
            attempt = Attempt(1, 0, ttl + 1)
            first = first._replace(attempt=attempt, may_start=False)
            placed = placed._replace(tasks=(Lease(0, 0, ttl + 1),))
        second = Owner(2, (was_open, settling))
        return State(2, (first, second), (settled, placed))

    def transitions(self, values: tuple[Any, ...]) -> list[Step]:
        """Return every step from a state."""
        state = State(*values)
        steps = list(self._deliveries(state))
        for number in range(len(state.workers)):
            steps += self._worker_steps(state, number)
        for index, owner in enumerate(state.owners):
            steps += self._log_steps(state, index, owner)
            if owner.epoch:
                for number in range(len(state.workers)):
                    steps += self._view_steps(state, index, number)
        return steps

    def _worker_steps(self, state: State, number: int) -> Iterator[Step]:
        worker = state.workers[number]
        if worker.now < self._bounds.horizons[number]:
            after = _ticked(worker)
            yield f"tick {number}", self._with_worker(state, number, after)
        if worker.boot < self._bounds.restarts:
            after = Worker(0, worker.boot + 1)
            yield f"restart {number}", self._with_worker(state, number, after)

    def _log_steps(
        self, state: State, index: int, owner: Owner
    ) -> Iterator[Step]:
        if owner.epoch == 0:
            epoch = state.epoch + 1
            claimed = state._replace(epoch=epoch)
            after = _with_owner(claimed, index, owner._replace(epoch=epoch))
            yield f"claim {index}", after
        elif owner.attempt is None and not owner.may_start:
            is_current = owner.epoch == state.epoch
            if is_current or not self._bounds.same_task:
                retried = owner._replace(may_start=True)
                yield f"retry {index}", _with_owner(state, index, retried)

    def _view_steps(
        self, state: State, index: int, number: int
    ) -> Iterator[Step]:
        worker = state.workers[number]
        owner = self._observe(state, index, number)
        seen = _with_owner(state, index, owner)
        if owner != state.owners[index]:
            yield f"view {index} {number}", seen
        if len(state.messages) >= self._bounds.messages:
            return
        if self._guards.yields and _shows_higher(state, index, worker):
            return
        known = owner.known[number]
        if known.claim == NONE:
            if owner.epoch == state.epoch or not self._guards.confirms:
                lease = Lease(index, worker.now, worker.now + self._bounds.ttl)
                message = Message(number, worker.boot, "place", lease)
                yield f"place {index} {number}", _sent(seen, message)
            return
        lease = Lease(index, known.claim, worker.now + self._bounds.ttl)
        tasks = tuple(item.owner for item in worker.tasks)
        renewal = Message(number, worker.boot, "renew", lease, tasks)
        if any(item.expiry < lease.expiry for item in _all(worker)):
            yield f"renew {index} {number}", _sent(seen, renewal)
        if self._may_grant(owner, worker, known):
            yield f"grant {index} {number}", self._granted(seen, index, number)

    def _may_grant(self, owner: Owner, worker: Worker, known: Known) -> bool:
        if owner.attempt is not None or not owner.may_start or worker.tasks:
            return False
        if not self._bounds.same_task or owner.epoch == 1:
            return known.was_open
        if not self._guards.settles_all:
            return known.was_open
        return all(item.was_open for item in owner.known)

    def _granted(self, state: State, index: int, number: int) -> State:
        worker = state.workers[number]
        owner = state.owners[index]
        expiry = worker.now + self._bounds.ttl
        if self._guards.within_claim:
            key = owner.known[number].claim
            expiry = min(expiry, _own_claims(worker, index)[key])
        attempt = Attempt(number, worker.boot, expiry)
        owner = owner._replace(attempt=attempt, may_start=False)
        lease = Lease(index, 0, expiry)
        message = Message(number, worker.boot, "grant", lease)
        return _sent(_with_owner(state, index, owner), message)

    def _observe(self, state: State, index: int, number: int) -> Owner:
        worker = state.workers[number]
        owner = state.owners[index]
        known = self._observe_claim(state, index, number)
        all_known = list(owner.known)
        all_known[number] = known
        attempt = owner.attempt
        if attempt is not None and attempt.worker == number:
            attempt = self._observe_attempt(attempt, worker, index)
        if attempt is None and self._adopts(state, index, worker):
            attempt = Attempt(number, worker.boot, 0, listed=True)
            owner = owner._replace(may_start=False)
        return owner._replace(known=tuple(all_known), attempt=attempt)

    def _adopts(self, state: State, index: int, worker: Worker) -> bool:
        if not self._bounds.same_task or not self._guards.adopts:
            return False
        return bool(worker.tasks) and not _shows_higher(state, index, worker)

    def _observe_claim(self, state: State, index: int, number: int) -> Known:
        worker = state.workers[number]
        owner = state.owners[index]
        known = owner.known[number]
        if known.boot != worker.boot:
            known = Known(worker.boot, was_open=known.was_open)
        own = _own_claims(worker, index)
        yields = self._guards.yields and _shows_higher(state, index, worker)
        if not own or yields:
            return known._replace(claim=NONE, settled=NONE)
        if known.claim not in own:
            key = max(own, key=lambda item: own[item])
            waits = self._guards.waits and owner.epoch > 1
            settled = worker.now + (self._bounds.ttl if waits else 0)
            known = known._replace(claim=key, settled=settled)
        if worker.now < known.settled:
            return known._replace(was_open=False)
        return known._replace(settled=0, was_open=True)

    def _observe_attempt(
        self, attempt: Attempt, worker: Worker, index: int
    ) -> Attempt | None:
        if attempt.boot != worker.boot:
            return None
        owners = {lease.owner for lease in worker.tasks}
        if index in owners or (owners and self._bounds.same_task):
            return attempt._replace(listed=True)
        if attempt.listed or not self._guards.waits_for_end:
            return None
        return attempt if worker.now < attempt.expiry else None

    def _deliveries(self, state: State) -> Iterator[Step]:
        for position, message in enumerate(state.messages):
            worker = state.workers[message.worker]
            rest = list(state.messages)
            del rest[position]
            after = state._replace(messages=tuple(rest))
            if message.boot == worker.boot or not self._guards.names_boot:
                worker = self._applied(worker, message)
            number = message.worker
            step = f"deliver {message.action} {message.lease.owner} {number}"
            yield step, self._with_worker(after, number, worker)

    def _applied(self, worker: Worker, message: Message) -> Worker:
        lease = message.lease
        if not self._guards.absolute_expiry:
            lease = lease._replace(expiry=worker.now + self._bounds.ttl)
        if message.action == "renew":
            return _renewed(worker, lease, message.tasks)
        if lease.expiry <= worker.now:
            return worker
        if message.action == "grant":
            return worker._replace(tasks=_with_lease(worker.tasks, lease))
        return worker._replace(claims=_with_lease(worker.claims, lease))

    def _with_worker(self, state: State, number: int, worker: Worker) -> State:
        workers = list(state.workers)
        workers[number] = worker
        messages = state.messages
        if self._guards.absolute_expiry and self._guards.names_boot:
            messages = tuple(
                item
                for item in messages
                if item.worker != number
                or (
                    item.boot == worker.boot and item.lease.expiry > worker.now
                )
            )
        return state._replace(workers=tuple(workers), messages=messages)


def claim_protocol(guards: Guards, bounds: Bounds) -> Any:
    """Return the protocol for the model checker.

    :raises ImportError: without the optional extra ``check``.
    """
    import minicheck

    spec = ClaimSpec(guards, bounds)
    return minicheck.Protocol(
        name="claim",
        candidate=False,
        fields=State._fields,
        initial=tuple(spec.initial()),
        transitions=spec.transitions,
        invariants={
            "reserved_within_capacity": _fits,
            "one_place": _in_one_place if bounds.same_task else _fits,
        },
    )


def _fits(values: dict[str, Any]) -> bool:
    return all(len(worker.tasks) <= 1 for worker in values["workers"])


def _in_one_place(values: dict[str, Any]) -> bool:
    return sum(len(worker.tasks) for worker in values["workers"]) <= 1


def _ticked(worker: Worker) -> Worker:
    now = worker.now + 1
    return Worker(
        now,
        worker.boot,
        tuple(item for item in worker.claims if item.expiry > now),
        tuple(item for item in worker.tasks if item.expiry > now),
    )


def _shows_higher(state: State, index: int, worker: Worker) -> bool:
    epoch = state.owners[index].epoch
    return any(
        state.owners[lease.owner].epoch > epoch for lease in _all(worker)
    )


def _all(worker: Worker) -> tuple[Lease, ...]:
    return (*worker.claims, *worker.tasks)


def _own_claims(worker: Worker, index: int) -> dict[int, int]:
    return {
        lease.key: lease.expiry
        for lease in worker.claims
        if lease.owner == index
    }


def _renewed(worker: Worker, claim: Lease, tasks: tuple[int, ...]) -> Worker:
    claims = tuple(
        item._replace(expiry=max(item.expiry, claim.expiry))
        if (item.owner, item.key) == (claim.owner, claim.key)
        else item
        for item in worker.claims
    )
    renewed = tuple(
        item._replace(expiry=max(item.expiry, claim.expiry))
        if item.owner in tasks
        else item
        for item in worker.tasks
    )
    return worker._replace(claims=claims, tasks=renewed)


def _with_lease(leases: tuple[Lease, ...], lease: Lease) -> tuple[Lease, ...]:
    known = {(item.owner, item.key) for item in leases}
    if (lease.owner, lease.key) in known:
        return leases
    return tuple(sorted((*leases, lease)))


def _sent(state: State, message: Message) -> State:
    if message in state.messages:
        return state
    messages = tuple(sorted((*state.messages, message)))
    return state._replace(messages=messages)


def _with_owner(state: State, index: int, owner: Owner) -> State:
    owners = (*state.owners[:index], owner, *state.owners[index + 1 :])
    return state._replace(owners=owners)
