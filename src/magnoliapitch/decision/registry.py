"""Registry of scheduling policies."""

from __future__ import annotations

from collections.abc import Callable

from magnoliapitch.decision.exceptions import UnknownPolicyError
from magnoliapitch.decision.interface import Scheduler
from magnoliapitch.policy.options import PolicyOptions


SchedulerFactory = Callable[[PolicyOptions], Scheduler]

_factories_by_name: dict[str, SchedulerFactory] = {}


def scheduling_policy(
    name: str,
) -> Callable[[SchedulerFactory], SchedulerFactory]:
    """Register a factory of schedulers under a policy name."""

    def register(factory: SchedulerFactory) -> SchedulerFactory:
        _factories_by_name[name] = factory
        return factory

    return register


def make_scheduler(
    name: str, options: PolicyOptions | None = None
) -> Scheduler:
    """Build a scheduler of the named policy.

    :raises UnknownPolicyError: if no policy has that name.
    """
    factory = _factories_by_name.get(name)
    if factory is None:
        raise UnknownPolicyError(name, tuple(_factories_by_name))
    return factory(options or PolicyOptions())
