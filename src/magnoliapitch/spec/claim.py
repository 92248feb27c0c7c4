"""Model of workers that pass to a new owner, for model checking.

The model covers claim leases, task grants and worker restarts. It has two
variants. In the first, one worker has room for one task and each owner wants
to run a task of its own. In the second, all owners want to run the same task,
on either of two workers.

An owner reads the state of one worker and decides in the same step. A pause
of the owner before it sends needs no step of its own: it has the same effect
as a message that stays in flight, for any time or for ever. The workers'
clocks advance independently, and expiry times are compared only on the
worker's own clock. docs/design/ownership.md names the function that
implements each step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.spec.claim_changes import add_lease
from magnoliapitch.spec.claim_changes import advance_clock
from magnoliapitch.spec.claim_changes import all_leases
from magnoliapitch.spec.claim_changes import lists_higher_epoch
from magnoliapitch.spec.claim_changes import own_claims
from magnoliapitch.spec.claim_changes import renew_leases
from magnoliapitch.spec.claim_changes import send
from magnoliapitch.spec.claim_changes import with_owner
from magnoliapitch.spec.claim_state import NO_VALUE
from magnoliapitch.spec.claim_state import Attempt
from magnoliapitch.spec.claim_state import Bounds
from magnoliapitch.spec.claim_state import Guards
from magnoliapitch.spec.claim_state import InitialState
from magnoliapitch.spec.claim_state import Lease
from magnoliapitch.spec.claim_state import Message
from magnoliapitch.spec.claim_state import Owner
from magnoliapitch.spec.claim_state import OwnerView
from magnoliapitch.spec.claim_state import State
from magnoliapitch.spec.claim_state import Transition
from magnoliapitch.spec.claim_state import Worker


if TYPE_CHECKING:
    from collections.abc import Iterator


class ClaimSpec:
    """Initial state and transitions of the model.

    :param guards: checks of the protocol that are switched on.
    :param bounds: size of the explored state space.
    """

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def initial(self) -> State:
        """Return the initial state that the bounds name."""
        worker_count = self._bounds.worker_count
        if self._bounds.initial_state is not InitialState.EARLY:
            return self._late_initial_state()
        views = (OwnerView(),) * worker_count
        owners = [Owner(1, (OwnerView(0),) * worker_count)]
        owners += [Owner(0, views)] * (self._bounds.owner_count - 1)
        lease = Lease(0, 0, self._bounds.ttl_ticks)
        messages = tuple(
            Message(worker_index, 0, "place", lease)
            for worker_index in range(worker_count)
        )
        return State(1, tuple(owners), (Worker(),) * worker_count, messages)

    def _late_initial_state(self) -> State:
        ttl_ticks = self._bounds.ttl_ticks
        settled_view = OwnerView(0, 0, 0, was_settled=True)
        settling_view = OwnerView(0, ttl_ticks - 1, 2 * ttl_ticks - 1)
        first = Owner(1, (settled_view,) * 2)
        settled_worker = Worker(
            ttl_ticks, claims=(Lease(1, 0, ttl_ticks + 1),)
        )
        unsettled_worker = Worker(
            ttl_ticks, claims=(Lease(1, ttl_ticks - 1, ttl_ticks + 1),)
        )
        if self._bounds.initial_state is InitialState.BUSY:
            attempt = Attempt(1, 0, ttl_ticks + 1)
            first = first._replace(attempt=attempt, may_attempt=False)
            unsettled_worker = unsettled_worker._replace(
                tasks=(Lease(0, 0, ttl_ticks + 1),)
            )
        second = Owner(2, (settled_view, settling_view))
        return State(2, (first, second), (settled_worker, unsettled_worker))

    def transitions(self, values: tuple[Any, ...]) -> list[Transition]:
        """Return every transition from a state, with its label.

        :param values: fields of the state, in the order of ``State``.
        """
        state = State(*values)
        steps = list(self._delivery_steps(state))
        for worker_index in range(len(state.workers)):
            steps += self._worker_steps(state, worker_index)
        for owner_index, owner in enumerate(state.owners):
            steps += self._claim_steps(state, owner_index, owner)
            if owner.epoch:
                for worker_index in range(len(state.workers)):
                    steps += self._worker_call_steps(
                        state, owner_index, worker_index
                    )
        return steps

    def _worker_steps(
        self, state: State, worker_index: int
    ) -> Iterator[Transition]:
        worker = state.workers[worker_index]
        if worker.now < self._bounds.max_clock_ticks[worker_index]:
            next_worker = advance_clock(worker)
            yield (
                f"tick {worker_index}",
                self._with_worker(state, worker_index, next_worker),
            )
        if worker.boot < self._bounds.max_restarts:
            next_worker = Worker(0, worker.boot + 1)
            yield (
                f"restart {worker_index}",
                self._with_worker(state, worker_index, next_worker),
            )

    def _claim_steps(
        self, state: State, owner_index: int, owner: Owner
    ) -> Iterator[Transition]:
        if owner.epoch == 0:
            epoch = state.log_epoch + 1
            claimed = state._replace(log_epoch=epoch)
            next_state = with_owner(
                claimed, owner_index, owner._replace(epoch=epoch)
            )
            yield f"claim {owner_index}", next_state
        elif owner.attempt is None and not owner.may_attempt:
            is_current = owner.epoch == state.log_epoch
            if is_current or not self._bounds.is_same_task:
                retried = owner._replace(may_attempt=True)
                yield (
                    f"retry {owner_index}",
                    with_owner(state, owner_index, retried),
                )

    def _worker_call_steps(
        self, state: State, owner_index: int, worker_index: int
    ) -> Iterator[Transition]:
        """Yield what an owner may do after it has read one worker's state."""
        worker = state.workers[worker_index]
        owner = self._apply_view(state, owner_index, worker_index)
        seen_state = with_owner(state, owner_index, owner)
        if owner != state.owners[owner_index]:
            yield f"view {owner_index} {worker_index}", seen_state
        if len(state.messages) >= self._bounds.max_messages:
            return
        if self._guards.stops_on_higher_epoch and lists_higher_epoch(
            state, owner_index, worker
        ):
            return
        view = owner.views[worker_index]
        if view.claim_key == NO_VALUE:
            if (
                owner.epoch == state.log_epoch
                or not self._guards.claims_after_log_read
            ):
                lease = Lease(
                    owner_index,
                    worker.now,
                    worker.now + self._bounds.ttl_ticks,
                )
                message = Message(worker_index, worker.boot, "place", lease)
                yield (
                    f"place {owner_index} {worker_index}",
                    send(seen_state, message),
                )
            return
        lease = Lease(
            owner_index, view.claim_key, worker.now + self._bounds.ttl_ticks
        )
        tasks = tuple(held.owner for held in worker.tasks)
        renewal = Message(worker_index, worker.boot, "renew", lease, tasks)
        if any(held.expiry < lease.expiry for held in all_leases(worker)):
            yield (
                f"renew {owner_index} {worker_index}",
                send(seen_state, renewal),
            )
        if self._can_grant(owner, worker, view):
            yield (
                f"grant {owner_index} {worker_index}",
                self._send_grant(seen_state, owner_index, worker_index),
            )

    def _can_grant(
        self, owner: Owner, worker: Worker, view: OwnerView
    ) -> bool:
        """Return whether the owner may grant a task lease on a worker."""
        if owner.attempt is not None or not owner.may_attempt or worker.tasks:
            return False
        if not self._bounds.is_same_task or owner.epoch == 1:
            return view.was_settled
        if not self._guards.settles_on_all_workers:
            return view.was_settled
        return all(item.was_settled for item in owner.views)

    def _send_grant(
        self, state: State, owner_index: int, worker_index: int
    ) -> State:
        worker = state.workers[worker_index]
        owner = state.owners[owner_index]
        expiry = worker.now + self._bounds.ttl_ticks
        if self._guards.grants_end_with_claim:
            claim_key = owner.views[worker_index].claim_key
            expiry = min(expiry, own_claims(worker, owner_index)[claim_key])
        attempt = Attempt(worker_index, worker.boot, expiry)
        owner = owner._replace(attempt=attempt, may_attempt=False)
        lease = Lease(owner_index, 0, expiry)
        message = Message(worker_index, worker.boot, "grant", lease)
        return send(with_owner(state, owner_index, owner), message)

    def _apply_view(
        self, state: State, owner_index: int, worker_index: int
    ) -> Owner:
        """Return the owner after it has read a worker's state."""
        worker = state.workers[worker_index]
        owner = state.owners[owner_index]
        view = self._apply_claim_view(state, owner_index, worker_index)
        updated_views = list(owner.views)
        updated_views[worker_index] = view
        attempt = owner.attempt
        if attempt is not None and attempt.worker == worker_index:
            attempt = self._apply_attempt_view(attempt, worker, owner_index)
        if attempt is None and self._must_adopt(state, owner_index, worker):
            attempt = Attempt(worker_index, worker.boot, 0, was_listed=True)
            owner = owner._replace(may_attempt=False)
        return owner._replace(views=tuple(updated_views), attempt=attempt)

    def _must_adopt(
        self, state: State, owner_index: int, worker: Worker
    ) -> bool:
        """Return whether the owner takes a listed task as its own attempt."""
        if (
            not self._bounds.is_same_task
            or not self._guards.adopts_listed_tasks
        ):
            return False
        return bool(worker.tasks) and not lists_higher_epoch(
            state, owner_index, worker
        )

    def _apply_claim_view(
        self, state: State, owner_index: int, worker_index: int
    ) -> OwnerView:
        """Return what the owner remembers after it has read a worker.

        A new owner settles once it has waited for one TTL after its claim
        lease: by then every task lease of an earlier owner is listed or
        has expired.
        """
        worker = state.workers[worker_index]
        owner = state.owners[owner_index]
        view = owner.views[worker_index]
        if view.boot != worker.boot:
            view = OwnerView(worker.boot, was_settled=view.was_settled)
        expiry_by_key = own_claims(worker, owner_index)
        is_superseded = (
            self._guards.stops_on_higher_epoch
            and lists_higher_epoch(state, owner_index, worker)
        )
        if not expiry_by_key or is_superseded:
            return view._replace(claim_key=NO_VALUE, settled_at=NO_VALUE)
        if view.claim_key not in expiry_by_key:
            claim_key = max(expiry_by_key, key=lambda key: expiry_by_key[key])
            must_wait = self._guards.waits_after_claim and owner.epoch > 1
            settled_at = worker.now + (
                self._bounds.ttl_ticks if must_wait else 0
            )
            view = view._replace(claim_key=claim_key, settled_at=settled_at)
        if worker.now < view.settled_at:
            return view._replace(was_settled=False)
        return view._replace(settled_at=0, was_settled=True)

    def _apply_attempt_view(
        self, attempt: Attempt, worker: Worker, owner_index: int
    ) -> Attempt | None:
        """Return the attempt after a read of its worker, None if it ended."""
        if attempt.boot != worker.boot:
            return None
        owners = {lease.owner for lease in worker.tasks}
        if owner_index in owners or (owners and self._bounds.is_same_task):
            return attempt._replace(was_listed=True)
        if attempt.was_listed or not self._guards.waits_for_previous_attempt:
            return None
        return attempt if worker.now < attempt.expiry else None

    def _delivery_steps(self, state: State) -> Iterator[Transition]:
        for position, message in enumerate(state.messages):
            worker = state.workers[message.worker]
            rest = list(state.messages)
            del rest[position]
            next_state = state._replace(messages=tuple(rest))
            if message.boot == worker.boot or not self._guards.checks_boot:
                worker = self._apply_message(worker, message)
            worker_index = message.worker
            label = (
                f"deliver {message.action} {message.lease.owner} "
                f"{worker_index}"
            )
            yield label, self._with_worker(next_state, worker_index, worker)

    def _apply_message(self, worker: Worker, message: Message) -> Worker:
        lease = message.lease
        if not self._guards.absolute_expiry:
            lease = lease._replace(expiry=worker.now + self._bounds.ttl_ticks)
        if message.action == "renew":
            return renew_leases(worker, lease, message.tasks)
        if lease.expiry <= worker.now:
            return worker
        if message.action == "grant":
            return worker._replace(tasks=add_lease(worker.tasks, lease))
        return worker._replace(claims=add_lease(worker.claims, lease))

    def _with_worker(
        self, state: State, worker_index: int, worker: Worker
    ) -> State:
        """Return the state with one worker replaced.

        Messages that the worker would ignore are removed, which keeps the
        number of states small.
        """
        workers = list(state.workers)
        workers[worker_index] = worker
        messages = state.messages
        if self._guards.absolute_expiry and self._guards.checks_boot:
            messages = tuple(
                message
                for message in messages
                if message.worker != worker_index
                or (
                    message.boot == worker.boot
                    and message.lease.expiry > worker.now
                )
            )
        return state._replace(workers=tuple(workers), messages=messages)


def claim_protocol(guards: Guards, bounds: Bounds) -> Any:
    """Return the model in the form that ``minicheck`` takes.

    :param guards: checks of the protocol that are switched on.
    :param bounds: size of the explored state space.
    :raises ImportError: if the optional extra ``check`` is not installed.
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
            "reserved_within_capacity": _is_within_capacity,
            "one_place": _has_one_running_task
            if bounds.is_same_task
            else _is_within_capacity,
        },
    )


def _is_within_capacity(values: dict[str, Any]) -> bool:
    return all(len(worker.tasks) <= 1 for worker in values["workers"])


def _has_one_running_task(values: dict[str, Any]) -> bool:
    return sum(len(worker.tasks) for worker in values["workers"]) <= 1
