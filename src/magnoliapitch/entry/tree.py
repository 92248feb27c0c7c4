"""Supervisor tree of an entry instance.

Children start in this order and stop in reverse order: the operators'
listener, the loops that call the platform, the loops of the cluster, the
peer node, the callers' listener. Operators can thus observe an instance
from start to stop, and callers are served only while all else runs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.clock import Clock
from magnoliapitch.supervisor import Child
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import RestartPolicy
from magnoliapitch.supervisor import Supervisor


if TYPE_CHECKING:
    from magnoliapitch.entry.core import NamedStep


class TreeOptions(NamedTuple):
    """Options common to all supervisors of the tree.

    :param give_up: called when a child fails too often.
    """

    clock: Clock
    policy: RestartPolicy
    give_up: Callable[[], None] | None = None

    def make_supervisor(self, name: str, children: list[Child]) -> Supervisor:
        """Create a supervisor with these options."""
        return Supervisor(
            name, children, self.clock, self.policy, self.give_up
        )


def make_supervisor_tree(
    steps: tuple[NamedStep, ...],
    before_loops: tuple[Child, ...],
    after_loops: tuple[Child, ...],
    options: TreeOptions,
) -> Supervisor:
    """Create the root supervisor, with one supervisor below per branch.

    :param steps: functions to call in loops, each in its branch.
    :param before_loops: children that start before all loops.
    :param after_loops: children that start after all loops.
    """
    steps_by_branch: dict[str, list[NamedStep]] = {}
    for step in steps:
        steps_by_branch.setdefault(step.branch, []).append(step)
    branches: list[Child] = [
        options.make_supervisor(
            branch,
            [Loop(item.name, item.step, options.clock) for item in members],
        )
        for branch, members in steps_by_branch.items()
    ]
    return options.make_supervisor(
        "entry", [*before_loops, *branches, *after_loops]
    )
