"""Choice of the agent for each worker."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.ledger.members import Member
    from magnoliapitch.workload.worker import WorkerInfo


# A leader calls this many workers itself, as far as its machine is concerned:
# a few calls a second to each, and one thread each.
LOCAL_WORKERS_PER_CORE = 40
# Share of that number below which a leader stops delegating, so that a fleet
# of about this size does not change hands all the time.
STOP_DELEGATING_RATIO = 0.8
# An agent has nothing else to do for the fleet than to call its workers.
DELEGATED_WORKERS_PER_CORE = 60
DELEGATED_WORKERS_PER_MBPS = 8
MIN_DELEGATED_WORKERS = 8
# Each worker takes a thread and connections of its agent.
MAX_DELEGATED_WORKERS = 80
# Stands for the leader itself in place of an agent's address.
LOCAL = ""


def assign_workers(
    workers: Iterable[WorkerInfo],
    agents_by_address: Mapping[str, Member],
    address_by_worker: Mapping[str, str],
    own_cores: float,
    kept_by_address: Mapping[str, Member] | None = None,
    *,
    is_complete: bool = True,
) -> dict[str, str]:
    """Return the address of the agent of each worker.

    As few agents as possible are used, since the leader calls each of them
    often, and agents in the zone of the worker first. A worker stays with its
    agent unless that is gone, or is in another zone without need.

    :param agents_by_address: agents that may be given workers.
    :param address_by_worker: agents so far, ``LOCAL`` for the leader.
    :param own_cores: processor cores of the leader.
    :param kept_by_address: agents whose workers may stay, by default those
        that may be given workers.
    :param is_complete: False if more agents are expected soon; a worker for
        which no agent has room is then left out.
    """
    listed = sorted(workers, key=_by_place)
    is_delegating = any(address_by_worker.values())
    max_local_count = LOCAL_WORKERS_PER_CORE * own_cores
    if is_delegating:
        max_local_count *= STOP_DELEGATING_RATIO
    if len(listed) <= max_local_count:
        return {worker.worker_id: LOCAL for worker in listed}
    kept = agents_by_address if kept_by_address is None else kept_by_address
    zones = {agent.zone for agent in agents_by_address.values()}
    assigned: dict[str, str] = {}
    for worker in listed:
        address = address_by_worker.get(worker.worker_id, LOCAL)
        agent = kept.get(address)
        if agent and (agent.zone == worker.zone or worker.zone not in zones):
            assigned[worker.worker_id] = address
    counts = Counter(assigned.values())
    for worker in listed:
        if worker.worker_id in assigned:
            continue
        best = _best_agent(worker, agents_by_address, counts)
        if not is_complete and (best is None or best.is_full):
            break
        address = LOCAL if best is None else best.address
        assigned[worker.worker_id] = address
        counts[address] += 1
    return assigned


def _by_place(worker: WorkerInfo) -> tuple[str, str, str]:
    return worker.zone, worker.rack, worker.worker_id


def _best_agent(
    worker: WorkerInfo,
    agents_by_address: Mapping[str, Member],
    counts: Counter[str],
) -> _AgentRank | None:
    """Return the agent for one more worker, or None without agents."""

    def rank(agent: Member) -> _AgentRank:
        count = counts[agent.address]
        return _AgentRank(
            is_full=count >= _capacity(agent),
            is_remote=agent.zone != worker.zone,
            is_unused=not count,
            load=count / _capacity(agent),
            weakness=-agent.cores,
            address=agent.address,
        )

    ranks = map(rank, agents_by_address.values())
    return min(ranks, default=None)


class _AgentRank(NamedTuple):
    """Sort key of an agent for a worker; the lowest is chosen."""

    is_full: bool
    is_remote: bool
    is_unused: bool
    load: float
    weakness: float
    address: str


def _capacity(agent: Member) -> float:
    """Return how many workers an agent can call."""
    count = min(
        agent.cores * DELEGATED_WORKERS_PER_CORE,
        agent.link_mbps * DELEGATED_WORKERS_PER_MBPS,
        MAX_DELEGATED_WORKERS,
    )
    return max(count, MIN_DELEGATED_WORKERS)
