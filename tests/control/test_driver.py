from __future__ import annotations

import threading
import time

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from magnoliapitch.advice.peer_health import PeerHealth
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.control.clients import Clients
from magnoliapitch.control.driver import ControlDriver
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.control.timing import ControlTiming
from magnoliapitch.ledger.claim import Claim
from magnoliapitch.ledger.elapsed_clock import LeaderClock
from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.members import Member
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.metric import Metrics
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.verdict import Failure

UNANSWERED = Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
DEADLINE_S = 10.0


class SlowLeadership:
    """Answers no commit until released; the first one then fails.

    :ivar batches: the batches of all calls to ``commit``.
    :ivar has_resigned: whether the leader said that it stops.
    """

    def __init__(self, clock: Clock) -> None:
        self.claim: Claim | None = None
        self.batches: list[Batch] = []
        self.has_resigned = False
        self.is_first_committing = threading.Event()
        self.release = threading.Event()
        self._clock = clock

    def claim_with(self, epoch: int) -> None:
        self.claim = Claim(
            LeaderRecord(epoch, "a"),
            self._clock.now_ms(),
            LeaderClock(epoch, epoch, 0),
        )

    def wait_for_claim(self, timeout_ms: int) -> Claim | None:
        del timeout_ms
        return self.claim

    def fence_former_leaders(self) -> Result[int, Failure]:
        return Ok(0)

    def keep_claim(self) -> Result[None, Failure]:
        return Ok(None)

    def resign(self) -> None:
        self.has_resigned = True

    def step_down(self) -> None:
        self.claim = None

    def commit(
        self,
        batch: Batch,
        on_progress_stored: Callable[[], object] = lambda: None,
    ) -> Result[int, Failure]:
        del on_progress_stored
        self.batches.append(batch)
        self.is_first_committing.set()
        self.release.wait(DEADLINE_S)
        return UNANSWERED if len(self.batches) == 1 else Ok(0)


class EmptyFollower:
    """Follows a store without jobs."""

    def __init__(self) -> None:
        self.job_table = JobTable()
        self.end = 0
        self.read_ms = 0

    def load(self, *_: object) -> Result[None, Failure]:
        return Ok(None)


class NoSystems:
    """Stands for other systems, of which none answers with anything."""

    known_peers: tuple[Member, ...] | None = None

    def peers(self) -> Result[Any, Failure]:
        return UNANSWERED

    def workers(self, timeout_ms: int = 0) -> Result[Any, Failure]:
        del timeout_ms
        return UNANSWERED

    def set_peers(self, peer_addresses: Iterable[str]) -> None:
        del peer_addresses

    def due_probes(self) -> list[Any]:
        return []

    def idle_calls(self) -> IdleCalls:
        return IdleCalls(0, 0)


# A batch that could not be stored before its leadership ended was tried again
# under the instance's next epoch, over what others had stored meanwhile.
def test_a_batch_is_not_stored_under_the_next_leadership() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    driver = make_driver(clock, leadership, NoSystems(), NoSystems())
    leadership.claim_with(epoch=1)
    step_until(driver, leadership.is_first_committing.is_set)
    controller = driver._controller
    assert controller is not None
    controller.stop_leading("the test ends it")
    step_until(driver, lambda: driver._controller is None)
    leadership.claim_with(epoch=2)
    step_until(driver, lambda: driver._controller is not None)
    leadership.release.set()
    step_until(driver, lambda: len(leadership.batches) == 2)
    first, second = leadership.batches
    assert first is not second


class BrokenDirectory(NoSystems):
    """Fails unexpectedly at the first look at the list of workers."""

    def __init__(self) -> None:
        self.looks = 0

    def workers(self, timeout_ms: int = 0) -> Result[Any, Failure]:
        del timeout_ms
        self.looks += 1
        if self.looks == 1:
            raise ValueError("unexpected")
        return Ok({})


# The list was never read again: workers that left stayed in use.
def test_an_unexpected_error_does_not_end_the_reading_of_workers() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    leadership.release.set()
    directory: Any = BrokenDirectory()
    driver = make_driver(clock, leadership, NoSystems(), directory)
    leadership.claim_with(epoch=1)
    step_until(driver, lambda: directory.looks >= 2)


class StuckMembers(NoSystems):
    """Does not answer for the list of instances until released."""

    def __init__(self) -> None:
        self.release = threading.Event()

    def peers(self) -> Result[Any, Failure]:
        self.release.wait(DEADLINE_S)
        return UNANSWERED


# Incident DRAIN: the list of workers was read after other calls to the store,
# and grew old while these were slow.
def test_the_list_of_workers_does_not_wait_for_other_calls() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    leadership.release.set()
    members = StuckMembers()
    directory: Any = BrokenDirectory()
    driver = make_driver(clock, leadership, members, directory)
    leadership.claim_with(epoch=1)
    step_until(driver, lambda: directory.looks >= 2)
    members.release.set()


class KnownMembers(NoSystems):
    """Lists no instances, but knows those that were read before."""

    known_peers = (Member("10.0.0.1:1"),)


class RecordingChannels(NoSystems):
    """Keeps the peers that it is given; each of them answers."""

    def __init__(self) -> None:
        self.peer_addresses: tuple[str, ...] = ()

    def set_peers(self, peer_addresses: Iterable[str]) -> None:
        self.peer_addresses = tuple(peer_addresses)

    def health_of(self, address: str) -> PeerHealth:
        del address
        return PeerHealth(is_known=True, answered_ms=0)


# A new leader had neither peers nor agents until it could read their list.
def test_known_instances_are_used_while_their_list_cannot_be_read() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    leadership.release.set()
    channels = RecordingChannels()
    driver = make_driver(
        clock, leadership, KnownMembers(), NoSystems(), channels
    )
    leadership.claim_with(epoch=1)
    driver.step()
    assert channels.peer_addresses == ("10.0.0.1:1",)


class WaitingRouter:
    """Has workers that wait until it is known which instances answer."""

    is_waiting = True

    def __init__(self) -> None:
        self.assign_count = 0

    def assign(self) -> None:
        self.assign_count += 1

    def set_agents(self, members: object) -> None:
        del members

    def available_start_orders(self) -> int:
        return 0

    def max_start_orders(self) -> int:
        return 0


# Workers would have waited for the next list of workers or of instances.
def test_waiting_workers_are_assigned_in_each_round() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    leadership.release.set()
    driver = make_driver(clock, leadership, NoSystems(), NoSystems())
    leadership.claim_with(epoch=1)
    driver.step()
    router = WaitingRouter()
    assert driver._effects is not None
    driver._effects.router = router  # type: ignore[assignment]
    for _ in range(3):
        driver.step()
    assert router.assign_count == 3


class OrderedCalls(KnownMembers):
    """Records the order of the calls of the upkeep."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def peers(self) -> Result[Any, Failure]:
        self.names.append("peers")
        return UNANSWERED

    def delete_jobs(self, job_ids: list[str]) -> Result[None, Failure]:
        del job_ids
        self.names.append("deletion")
        return Ok(None)


# The list of instances waited for the deletion of jobs, up to a second; jobs
# stayed while the list could not be read.
def test_upkeep_reads_instances_first_and_deletes_jobs_in_any_case() -> None:
    clock = MonotonicClock()
    calls = OrderedCalls()
    driver = make_driver(
        clock, SlowLeadership(clock), calls, NoSystems(), RecordingChannels()
    )
    driver._job_follower = calls  # type: ignore[assignment]
    driver._job_deletions.add(["a"])
    assert driver._maintain().is_err()
    assert calls.names == ["peers", "deletion"]


# It read all jobs first, or never resigned if it could not: others waited for
# it as for a leader that is lost.
def test_an_instance_that_stops_before_it_is_prepared_resigns() -> None:
    clock = MonotonicClock()
    leadership = SlowLeadership(clock)
    driver = make_driver(clock, leadership, NoSystems(), NoSystems())
    leadership.claim_with(epoch=1)
    driver.stop()
    step_until(driver, lambda: leadership.claim is None)
    assert leadership.has_resigned


def make_driver(
    clock: Clock,
    leadership: SlowLeadership,
    members: Any,
    directory: Any,
    channels: Any = None,
    follower: Any = None,
    configuration: Callable[[], Any] = lambda: None,
) -> ControlDriver:
    systems: Any = NoSystems()
    job_follower: Any = follower or EmptyFollower()
    return ControlDriver(
        leadership,  # type: ignore[arg-type]
        StateTable(),
        Clients(systems, channels or systems, members, directory, systems),
        ControlTiming(longest_lease_ms=6_000),
        clock,
        configuration,
        lambda _: job_follower,
        Metrics(),
        OrderSender(systems, clock, Metrics()),
    )


def step_until(driver: ControlDriver, is_reached: Any) -> None:
    deadline_s = time.monotonic() + DEADLINE_S
    while not is_reached():
        assert time.monotonic() < deadline_s
        driver.step()
