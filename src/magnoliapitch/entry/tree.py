"""The supervisor tree of an entry instance.

Children start in this order and stop in reverse: the operators' listener,
the loops to the platform, the loops of the cluster, the peer node, the
callers' listener. So operators can watch an instance during its whole life,
and callers come last and leave first.
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
    """What every supervisor of the tree shares.

    :param give_up: called when a child fails too often.
    """

    clock: Clock
    policy: RestartPolicy
    give_up: Callable[[], None] | None = None

    def make_supervisor(self, name: str, children: list[Child]) -> Supervisor:
        """Return a supervisor with these options."""
        return Supervisor(
            name, children, self.clock, self.policy, self.give_up
        )


def make_supervisor_tree(
    steps: tuple[NamedStep, ...],
    before_loops: tuple[Child, ...],
    after_loops: tuple[Child, ...],
    options: TreeOptions,
) -> Supervisor:
    """Return the root with a supervisor for each branch of steps.

    :param before_loops: children that start before every loop.
    :param after_loops: children that start after every loop.
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
