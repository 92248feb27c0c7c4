from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.control.lease import WorkerLease
from magnoliapitch.control.reachability import WorkerReachability
from magnoliapitch.control.stored_leases import StoredLeases
from magnoliapitch.control.timing import ControlTiming
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.ledger.state_table import StateTable


if TYPE_CHECKING:
    from collections.abc import Callable


TIMING = ControlTiming(longest_lease_ms=6_000)


class _InterruptedLease(WorkerLease):
    """Runs another thread's work once the worker's new clock is set."""

    on_clock: Callable[[], object] | None = None

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        if name == "_clock_ms" and self.on_clock is not None:
            self.on_clock()


# The renewal thread posts a report and asks for the next deadline at once,
# while the main thread records that report. The new clock of the worker with
# the old time makes the lease longer by the time between two answers.
def test_a_lease_is_not_longer_while_an_answer_is_being_recorded() -> None:
    clock = ElapsedClock().continue_as(1, 0, 0)
    reachability = WorkerReachability(
        TIMING, 0, clock, StoredLeases(clock, StateTable())
    )
    lease = _InterruptedLease(TIMING, 0)
    reachability._lease_by_worker["w"] = lease
    reachability.record_answer("w", 10_000, 1_000, 1_000)
    deadlines: list[int | None] = []

    def ask() -> None:
        deadlines.append(reachability.next_lease_deadline("w", 2_000))

    def interrupt() -> None:
        thread = threading.Thread(target=ask)
        thread.start()
        thread.join(0.2)

    lease.on_clock = interrupt
    reachability.record_answer("w", 11_000, 2_000, 2_000)
    lease.on_clock = None
    while not deadlines:
        pass
    assert deadlines == [11_000 + TIMING.lease_ms]
