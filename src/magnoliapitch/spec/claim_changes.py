"""Changes of the states of the model in ``claim.py``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.spec.claim_state import Worker


if TYPE_CHECKING:
    from magnoliapitch.spec.claim_state import Lease
    from magnoliapitch.spec.claim_state import Message
    from magnoliapitch.spec.claim_state import Owner
    from magnoliapitch.spec.claim_state import State


def advance_clock(worker: Worker) -> Worker:
    """Return a worker one tick later, without expired leases."""
    now = worker.now + 1
    return Worker(
        now,
        worker.boot,
        tuple(lease for lease in worker.claims if lease.expiry > now),
        tuple(lease for lease in worker.tasks if lease.expiry > now),
    )


def lists_higher_epoch(state: State, owner_index: int, worker: Worker) -> bool:
    """Return whether a worker lists a lease of a higher epoch."""
    epoch = state.owners[owner_index].epoch
    return any(
        state.owners[lease.owner].epoch > epoch for lease in all_leases(worker)
    )


def all_leases(worker: Worker) -> tuple[Lease, ...]:
    """Return the claims and tasks of a worker."""
    return (*worker.claims, *worker.tasks)


def own_claims(worker: Worker, owner_index: int) -> dict[int, int]:
    """Return the expiry of an owner's claims on a worker, by key."""
    return {
        lease.claim_key: lease.expiry
        for lease in worker.claims
        if lease.owner == owner_index
    }


def renew_leases(
    worker: Worker, claim: Lease, tasks: tuple[int, ...]
) -> Worker:
    """Return a worker with a claim and its tasks renewed."""
    claims = tuple(
        lease._replace(expiry=max(lease.expiry, claim.expiry))
        if (lease.owner, lease.claim_key) == (claim.owner, claim.claim_key)
        else lease
        for lease in worker.claims
    )
    renewed = tuple(
        lease._replace(expiry=max(lease.expiry, claim.expiry))
        if lease.owner in tasks
        else lease
        for lease in worker.tasks
    )
    return worker._replace(claims=claims, tasks=renewed)


def add_lease(leases: tuple[Lease, ...], lease: Lease) -> tuple[Lease, ...]:
    """Return leases with another one, unless it is present."""
    present = {(item.owner, item.claim_key) for item in leases}
    if (lease.owner, lease.claim_key) in present:
        return leases
    return tuple(sorted((*leases, lease)))


def send(state: State, message: Message) -> State:
    """Return the state with a message in flight."""
    if message in state.messages:
        return state
    messages = tuple(sorted((*state.messages, message)))
    return state._replace(messages=messages)


def with_owner(state: State, owner_index: int, owner: Owner) -> State:
    """Return the state with one owner replaced."""
    owners = (
        *state.owners[:owner_index],
        owner,
        *state.owners[owner_index + 1 :],
    )
    return state._replace(owners=owners)
