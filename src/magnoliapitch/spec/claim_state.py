"""States, guards and bounds of the model in ``claim.py``.

Times are ticks of a worker's clock. A worker is in its first boot until it
restarts; each restart adds 1 to the number of its boot.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


# Stands for a boot, a claim key or a time that an owner does not know.
NO_VALUE = -1


class Guards(NamedTuple):
    """Checks of the protocol.

    The tests switch off one or two at a time and expect the model checker to
    find a violation.

    :param stops_on_higher_epoch: an owner sends nothing to a worker that
        lists a lease of an owner with a higher epoch.
    :param waits_after_claim: a new owner waits for one TTL after it has seen
        its claim lease before it grants a task.
    :param absolute_expiry: a message carries the expiry as a time of the
        worker's clock; otherwise it counts from receipt of the message.
    :param grants_end_with_claim: a task lease expires no later than the claim
        lease of its owner.
    :param claims_after_log_read: an owner places a claim lease only if it has
        the highest epoch in the log.
    :param checks_boot: a message names a boot of the worker, and the worker
        ignores it in any other boot.
    :param waits_for_previous_attempt: an owner makes a second attempt only
        once the first has ended.
    :param settles_on_all_workers: a task that an earlier owner may have
        started waits until the new owner has settled on every worker.
    :param adopts_listed_tasks: a new owner treats a task that it finds listed
        on a worker as its own attempt.
    """

    stops_on_higher_epoch: bool = True
    waits_after_claim: bool = True
    absolute_expiry: bool = True
    grants_end_with_claim: bool = True
    claims_after_log_read: bool = True
    checks_boot: bool = True
    waits_for_previous_attempt: bool = True
    settles_on_all_workers: bool = True
    adopts_listed_tasks: bool = True


class InitialState(StrEnum):
    """State from which the exploration starts.

    EARLY: the first owner has sent its claim leases. LATE: the second owner
    has settled on the first worker but not on the second, and the first
    owner has paused. BUSY: as LATE, and the first owner's task runs on the
    second worker.
    """

    EARLY = "early"
    LATE = "late"
    BUSY = "busy"


class Bounds(NamedTuple):
    """Size of the explored state space.

    :param max_clock_ticks: last time of the clock of each worker; its length
        is the number of workers.
    :param ttl_ticks: time to live of a lease, from the time at which its
        owner saw the worker.
    :param max_restarts: restarts of each worker.
    :param max_messages: messages in flight at once.
    :param is_same_task: whether the owners want to run the same task.
    :param initial_state: state from which the exploration starts.
    """

    owner_count: int = 2
    max_clock_ticks: tuple[int, ...] = (4,)
    ttl_ticks: int = 2
    max_restarts: int = 0
    max_messages: int = 2
    is_same_task: bool = False
    initial_state: InitialState = InitialState.EARLY

    @property
    def worker_count(self) -> int:
        """Number of workers."""
        return len(self.max_clock_ticks)


class OwnerView(NamedTuple):
    """What an owner remembers of the last state of a worker that it read.

    :param boot: boot of the worker.
    :param claim_key: key of the owner's claim lease on the worker.
    :param settled_at: time of the worker's clock from which on every
        unexpired task lease of an earlier owner is listed on the worker.
    :param was_settled: whether that time had come when the owner last saw
        its claim lease on the worker.
    """

    boot: int = NO_VALUE
    claim_key: int = NO_VALUE
    settled_at: int = NO_VALUE
    was_settled: bool = False


class Attempt(NamedTuple):
    """An owner's attempt to run its task, not known to have ended.

    :param worker: index of the worker.
    :param boot: boot of the worker for which the lease was granted.
    :param expiry: expiry of the granted lease; 0 if the owner adopted the
        task.
    :param was_listed: whether the owner has seen the task on the worker.
    """

    worker: int
    boot: int
    expiry: int
    was_listed: bool = False


class Owner(NamedTuple):
    """One owner of the workers.

    :param epoch: epoch of its claim in the log, 0 before it has claimed.
    :param views: what it remembers of each worker.
    :param may_attempt: whether it may start an attempt of its task.
    """

    epoch: int
    views: tuple[OwnerView, ...]
    attempt: Attempt | None = None
    may_attempt: bool = True


class Lease(NamedTuple):
    """A claim lease or a task lease on a worker.

    :param owner: index of the owner.
    :param claim_key: tells the claim leases of one owner apart; 0 for task
        leases.
    :param expiry: time of the worker's clock at which the lease ends.
    """

    owner: int
    claim_key: int
    expiry: int


class Worker(NamedTuple):
    """A worker and the leases that it holds.

    :param now: time of its clock.
    :param claims: claim leases.
    :param tasks: task leases; each stands for a running task.
    """

    now: int = 0
    boot: int = 0
    claims: tuple[Lease, ...] = ()
    tasks: tuple[Lease, ...] = ()


class Message(NamedTuple):
    """A message in flight from an owner to a worker.

    :param worker: index of the worker.
    :param boot: boot of the worker that the owner had seen.
    :param action: ``place`` for a claim lease, ``grant`` for a task lease or
        ``renew`` for both.
    :param tasks: owners whose task leases are renewed.
    """

    worker: int
    boot: int
    action: str
    lease: Lease
    tasks: tuple[int, ...] = ()


class State(NamedTuple):
    """State of the whole model.

    :param log_epoch: highest claimed epoch in the log.
    :param messages: messages in flight.
    """

    log_epoch: int
    owners: tuple[Owner, ...]
    workers: tuple[Worker, ...]
    messages: tuple[Message, ...] = ()


# Label of the transition and the state after it.
Transition = tuple[str, State]
