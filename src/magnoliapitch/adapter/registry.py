"""Registries of adapters to the log service and the instance list.

An adapter registers itself for a URL scheme when its module is imported.
"""

from __future__ import annotations

from collections.abc import Callable

from magnoliapitch.adapter.exceptions import UnknownAdapterError
from magnoliapitch.journal.log import PlatformLog
from magnoliapitch.membership.instance import InstanceList


LogFactory = Callable[[str], PlatformLog]
InstanceListFactory = Callable[[str], InstanceList]

_log_factories_by_scheme: dict[str, LogFactory] = {}
_list_factories_by_scheme: dict[str, InstanceListFactory] = {}


def log_adapter(scheme: str) -> Callable[[LogFactory], LogFactory]:
    """Return a decorator that registers a log factory for a URL scheme.

    The factory takes the whole URL.
    """

    def register(factory: LogFactory) -> LogFactory:
        _log_factories_by_scheme[scheme] = factory
        return factory

    return register


def instance_list_adapter(
    scheme: str,
) -> Callable[[InstanceListFactory], InstanceListFactory]:
    """Return a decorator that registers an instance-list factory.

    The factory takes the whole URL.

    :param scheme: URL scheme that the factory serves.
    """

    def register(factory: InstanceListFactory) -> InstanceListFactory:
        _list_factories_by_scheme[scheme] = factory
        return factory

    return register


def make_log(url: str) -> PlatformLog:
    """Build the log adapter for a URL.

    :raises UnknownAdapterError: if no adapter is registered for the scheme.
    """
    scheme = url.partition(":")[0]
    factory = _log_factories_by_scheme.get(scheme)
    if factory is None:
        raise UnknownAdapterError(scheme, tuple(_log_factories_by_scheme))
    return factory(url)


def make_instance_list(url: str) -> InstanceList:
    """Build the instance-list adapter for a URL.

    :raises UnknownAdapterError: if no adapter is registered for the scheme.
    """
    scheme = url.partition(":")[0]
    factory = _list_factories_by_scheme.get(scheme)
    if factory is None:
        raise UnknownAdapterError(scheme, tuple(_list_factories_by_scheme))
    return factory(url)
