"""What a planning round has left."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.planner.candidates import CandidateWorkers
from magnoliapitch.planner.kept_room import KeptRoom
from magnoliapitch.planner.permit_budget import PermitBudget
from magnoliapitch.planner.workspace_round import WorkspaceRound


class RoundLeft(NamedTuple):
    """What a round has left, by which reports tell why a step waits.

    :param workers: workers that take new runs, with what is left free.
    :param permit_budget: calls to the advisor.
    :param workspace_round: quotas of the workspaces.
    :param kept_room: room that only services which are down may use for good.
    """

    workers: CandidateWorkers
    permit_budget: PermitBudget
    workspace_round: WorkspaceRound
    kept_room: KeptRoom


__all__ = ["RoundLeft"]
