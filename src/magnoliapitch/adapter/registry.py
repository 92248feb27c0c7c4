"""Registries of adapters to the log service and the instance list."""

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
    """Register a factory of log adapters for a URL scheme."""

    def register(factory: LogFactory) -> LogFactory:
        _log_factories_by_scheme[scheme] = factory
        return factory

    return register


def instance_list_adapter(
    scheme: str,
) -> Callable[[InstanceListFactory], InstanceListFactory]:
    """Register a factory of instance-list adapters for a URL scheme."""

    def register(factory: InstanceListFactory) -> InstanceListFactory:
        _list_factories_by_scheme[scheme] = factory
        return factory

    return register


def make_log(url: str) -> PlatformLog:
    """Build the log adapter for a URL.

    :raises UnknownAdapterError: if no adapter serves the URL's scheme.
    """
    scheme = url.partition(":")[0]
    factory = _log_factories_by_scheme.get(scheme)
    if factory is None:
        raise UnknownAdapterError(scheme, tuple(_log_factories_by_scheme))
    return factory(url)


def make_instance_list(url: str) -> InstanceList:
    """Build the instance-list adapter for a URL.

    :raises UnknownAdapterError: if no adapter serves the URL's scheme.
    """
    scheme = url.partition(":")[0]
    factory = _list_factories_by_scheme.get(scheme)
    if factory is None:
        raise UnknownAdapterError(scheme, tuple(_list_factories_by_scheme))
    return factory(url)
