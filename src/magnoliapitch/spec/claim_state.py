"""States, guards and bounds of the model of successive owners."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


NONE = -1


class Guards(NamedTuple):
    """Checks of the protocol; a mutant leaves one out.

    :param yields: an owner stops when it sees a higher epoch.
    :param waits: a new owner waits for a TTL after its claim lease.
    :param absolute_expiry: expiry is a time of the worker's clock, not
        counted from the receipt of the grant.
    :param within_claim: grants end with the own claim lease.
    :param confirms: a claim lease is placed after a read of the log only.
    :param names_boot: grants name the boot of the worker.
    :param waits_for_end: a second attempt waits for the end of the first.
    :param settles_all: work that an earlier owner may have started waits
        until the new owner has settled on every worker.
    :param adopts: a new owner counts a listed task as its own attempt.
    """

    yields: bool = True
    waits: bool = True
    absolute_expiry: bool = True
    within_claim: bool = True
    confirms: bool = True
    names_boot: bool = True
    waits_for_end: bool = True
    settles_all: bool = True
    adopts: bool = True


class Start(StrEnum):
    """States from which the exploration starts.

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

    :param horizons: last time of each worker's clock.
    :param ttl: time after a view for which leases are granted.
    :param same_task: whether the owners want to run the same task.
    :param start: state to start from.
    """

    owners: int = 2
    horizons: tuple[int, ...] = (4,)
    ttl: int = 2
    restarts: int = 0
    messages: int = 2
    same_task: bool = False
    start: Start = Start.EARLY

    @property
    def workers(self) -> int:
        """Number of workers."""
        return len(self.horizons)


class Known(NamedTuple):
    """What an owner keeps of its last view of a worker.

    :param claim: key of its claim lease there.
    :param settled: worker time from which all earlier grants are listed.
    :param was_open: whether the owner has settled there.
    """

    boot: int = NONE
    claim: int = NONE
    settled: int = NONE
    was_open: bool = False


class Attempt(NamedTuple):
    """An owner's attempt of its task that has not surely ended."""

    worker: int
    boot: int
    expiry: int
    listed: bool = False


class Owner(NamedTuple):
    """One owner.

    :param may_start: whether its task may be started.
    """

    epoch: int
    known: tuple[Known, ...]
    attempt: Attempt | None = None
    may_start: bool = True


class Lease(NamedTuple):
    """A lease on a worker.

    :param key: tells claim leases of one owner apart; 0 for tasks.
    """

    owner: int
    key: int
    expiry: int


class Worker(NamedTuple):
    """A worker and what it has granted."""

    now: int = 0
    boot: int = 0
    claims: tuple[Lease, ...] = ()
    tasks: tuple[Lease, ...] = ()


class Message(NamedTuple):
    """A start or a renewal in flight.

    :param action: ``place``, ``renew`` or ``grant``.
    :param tasks: owners whose task leases are renewed.
    """

    worker: int
    boot: int
    action: str
    lease: Lease
    tasks: tuple[int, ...] = ()


class State(NamedTuple):
    """State of the whole protocol.

    :param epoch: highest claimed epoch in the log.
    """

    epoch: int
    owners: tuple[Owner, ...]
    workers: tuple[Worker, ...]
    messages: tuple[Message, ...] = ()


Step = tuple[str, State]
