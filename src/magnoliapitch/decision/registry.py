"""Registry of scheduling policies by name."""

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
    """Return a decorator that registers a scheduler factory.

    :param name: policy name, as used in the settings.
    """

    def register(factory: SchedulerFactory) -> SchedulerFactory:
        _factories_by_name[name] = factory
        return factory

    return register


def make_scheduler(
    name: str, options: PolicyOptions | None = None
) -> Scheduler:
    """Create a scheduler with the named policy.

    :param name: registered policy name.
    :param options: configuration of the policy; the defaults if ``None``.
    :raises UnknownPolicyError: if no policy has that name.
    """
    factory = _factories_by_name.get(name)
    if factory is None:
        raise UnknownPolicyError(name, tuple(_factories_by_name))
    return factory(options or PolicyOptions())
