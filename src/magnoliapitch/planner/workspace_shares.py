"""Fair shares of workspaces: which waiting steps are placed last."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.dominant_shares import Demand
from magnoliapitch.planner.dominant_shares import divide
from magnoliapitch.planner.tracked import TrackedStep


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.configuration import Workspace


# A workspace that is no longer configured, and jobs without one.
DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 1e-6
# Shares are sums of fractions, so equal ones may differ by this much.
TOLERANCE = 1e-9
RESOURCE_COUNT = 3

_Amount = list[int]
# Service and workspace.
_PoolKey = tuple[str, str]


class OrderedSteps(NamedTuple):
    """Steps in the order in which they are placed.

    :param beyond_count_by_workspace: steps that are placed last.
    """

    steps: list[TrackedStep]
    beyond_count_by_workspace: Mapping[str, int]


def order_by_shares(
    state: SchedulerState, ranked_steps: list[TrackedStep]
) -> OrderedSteps:
    """Place the steps last that would bring a workspace above its share.

    Each service is a pool of its own, since its tasks run on its workers
    only. If the demand fits a pool, the order of its steps is kept.

    :param ranked_steps: steps that may start, in the order of their rank.
    """
    shares = _WorkspaceShares(state, ranked_steps)
    within: list[TrackedStep] = []
    beyond: list[TrackedStep] = []
    for step in ranked_steps:
        step.is_beyond_share = not shares.admit(step)
        (beyond if step.is_beyond_share else within).append(step)
    count_by_workspace = Counter(step.job.spec.workspace for step in beyond)
    return OrderedSteps(within + beyond, count_by_workspace)


class _Pool(NamedTuple):
    """The workers of a service that has less capacity than demand.

    :param share_by_workspace: fair dominant shares.
    """

    inverse_capacity: tuple[float, ...]
    share_by_workspace: Mapping[str, float]

    def dominant(self, amount: _Amount) -> float:
        """Return the largest fraction of the capacity in an amount."""
        cpu, memory, accelerators = self.inverse_capacity
        return max(
            amount[0] * cpu, amount[1] * memory, amount[2] * accelerators
        )


class _Account:
    """Usage of a workspace in a pool, in the order of the steps.

    :ivar full_priority: priority from which on no step is within the share;
        None as long as one may be.
    """

    __slots__ = ("_active_by_priority", "before", "full_priority", "share")

    def __init__(self, share: float) -> None:
        self.share = share + TOLERANCE
        self.before = _no_amount()
        self.full_priority: int | None = None
        self._active_by_priority: dict[int, _Amount] = {}

    def add_active(self, priority: int, used: Resources) -> None:
        """Add the runs of one priority."""
        self._active_by_priority[priority] = list(used)

    def used(self, priority: int) -> _Amount:
        """Return what runs of the same or a more urgent priority use.

        The steps that rank before are included.
        """
        used = list(self.before)
        for active_priority, amount in self._active_by_priority.items():
            if active_priority <= priority:
                _add(used, amount, 1)
        return used


class _WorkspaceShares:
    """Accumulates the usage of each workspace in the order of the steps.

    :ivar pools_by_service: services whose demand exceeds their capacity.
    """

    def __init__(
        self, state: SchedulerState, steps: Iterable[TrackedStep]
    ) -> None:
        self.pools_by_service = _contended_pools(state, steps)
        self._accounts = {
            (service, workspace): _Account(share)
            for service, pool in self.pools_by_service.items()
            for workspace, share in pool.share_by_workspace.items()
        }
        for usage_key, used in state.workspace_usage.items():
            key = (usage_key.service, usage_key.workspace)
            if key in self._accounts:
                self._accounts[key].add_active(usage_key.priority, used)

    def admit(self, step: TrackedStep) -> bool:
        """Count a step; return whether it stays within the fair share.

        A workspace that uses at most half its share is not kept waiting by a
        step that exceeds it. Of single tasks as many may start as the share
        covers, at least one; the rest is decided on in the next round.
        """
        queue = step.job.queue
        pool = self.pools_by_service.get(queue.service)
        if pool is None:
            return True
        account = self._accounts[queue.service, step.job.spec.workspace]
        if step.spec.is_long_running and step.has_interrupted_task():
            _add(account.before, step.reservation, step.startable_count)
            return True
        full_priority = account.full_priority
        if full_priority is not None and queue.priority >= full_priority:
            return False
        used = account.used(queue.priority)
        _add(account.before, step.reservation, step.startable_count)
        after = list(used)
        _add(after, step.reservation, step.startable_count)
        if pool.dominant(after) <= account.share:
            return True
        account.full_priority = queue.priority
        if 2 * pool.dominant(used) > account.share:
            return False
        if not step.spec.is_gang:
            count = _fitting_count(pool, account.share, used, step)
            step.start_limit = max(1, count)
        return True


def _contended_pools(
    state: SchedulerState, steps: Iterable[TrackedStep]
) -> dict[str, _Pool]:
    """Return the pools in which not all of the demand fits."""
    demand = _demand(state, steps)
    total: defaultdict[str, _Amount] = defaultdict(_no_amount)
    for (service, _), amount in demand.items():
        _add(total[service], amount, 1)
    capacity = _usable_capacity(state)
    return {
        service: _pool(state, service, capacity[service], demand)
        for service, amount in total.items()
        if any(
            needed > available
            for needed, available in zip(
                amount, capacity[service], strict=True
            )
        )
    }


def _demand(
    state: SchedulerState, steps: Iterable[TrackedStep]
) -> dict[_PoolKey, _Amount]:
    """Return what active runs and waiting tasks use, within the quotas."""
    demand: defaultdict[_PoolKey, _Amount] = defaultdict(_no_amount)
    for step in steps:
        job = step.job
        key = (job.queue.service, job.spec.workspace)
        _add(demand[key], step.reservation, step.startable_count)
    for usage_key, used in state.workspace_usage.items():
        _add(demand[usage_key.service, usage_key.workspace], used, 1)
    for (_, name), amount in demand.items():
        workspace = state.workspaces_by_name.get(name)
        for number, limit in enumerate(workspace.quota if workspace else ()):
            if limit:
                amount[number] = min(limit, amount[number])
    return demand


def _usable_capacity(state: SchedulerState) -> defaultdict[str, _Amount]:
    capacity: defaultdict[str, _Amount] = defaultdict(_no_amount)
    for worker in state.workers_by_id.values():
        if worker.takes_new_runs and worker.info is not None:
            _add(capacity[worker.info.service], worker.info.capacity, 1)
    return capacity


def _pool(
    state: SchedulerState,
    service: str,
    capacity: _Amount,
    demand: Mapping[_PoolKey, _Amount],
) -> _Pool:
    # A resource of which there is none limits no start that is possible.
    inverse = tuple(1 / amount if amount else 0.0 for amount in capacity)
    demand_by_workspace = {
        workspace: Demand(
            _weight(state.workspaces_by_name.get(workspace)),
            tuple(
                number * factor
                for number, factor in zip(amount, inverse, strict=True)
            ),
        )
        for (pool_service, workspace), amount in demand.items()
        if pool_service == service
    }
    return _Pool(inverse, divide(demand_by_workspace))


def _weight(workspace: Workspace | None) -> float:
    if workspace is None:
        return DEFAULT_WEIGHT
    return max(MIN_WEIGHT, workspace.weight)


def _fitting_count(
    pool: _Pool, share: float, used: _Amount, step: TrackedStep
) -> int:
    """Return how many tasks of a step the share covers."""
    count = step.startable_count
    for factor, amount, each in zip(
        pool.inverse_capacity, used, step.reservation, strict=True
    ):
        if factor and each:
            count = min(count, int((share / factor - amount) / each))
    return count


def _no_amount() -> _Amount:
    return [0] * RESOURCE_COUNT


def _add(amount: _Amount, other: Resources | _Amount, count: int) -> None:
    amount[0] += other[0] * count
    amount[1] += other[1] * count
    amount[2] += other[2] * count


__all__ = ["OrderedSteps", "order_by_shares"]
