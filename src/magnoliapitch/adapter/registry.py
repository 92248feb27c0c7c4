"""Registries of adapters to the log service and the instance list.

An adapter registers itself for a URL scheme when its module is imported.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from magnoliapitch.adapter.exceptions import UnknownAdapterError
from magnoliapitch.journal.log import PlatformLog
from magnoliapitch.membership.instance import InstanceList


LogFactory = Callable[[str], PlatformLog]
InstanceListFactory = Callable[[str], InstanceList]

AdapterT = TypeVar("AdapterT")


class _Factories(Generic[AdapterT]):
    """Factories of one kind of adapter, by the scheme of a URL."""

    def __init__(self) -> None:
        self._factories_by_scheme: dict[str, Callable[[str], AdapterT]] = {}

    def registers(
        self, scheme: str
    ) -> Callable[[Callable[[str], AdapterT]], Callable[[str], AdapterT]]:
        """Return a decorator that registers a factory for a scheme."""

        def register(
            factory: Callable[[str], AdapterT],
        ) -> Callable[[str], AdapterT]:
            self._factories_by_scheme[scheme] = factory
            return factory

        return register

    def make(self, url: str) -> AdapterT:
        """Build the adapter for a URL.

        :raises UnknownAdapterError: if no adapter is registered for the
            scheme.
        """
        scheme = url.partition(":")[0]
        factory = self._factories_by_scheme.get(scheme)
        if factory is None:
            raise UnknownAdapterError(scheme, tuple(self._factories_by_scheme))
        return factory(url)


_log_factories: _Factories[PlatformLog] = _Factories()
_instance_list_factories: _Factories[InstanceList] = _Factories()


def log_adapter(scheme: str) -> Callable[[LogFactory], LogFactory]:
    """Return a decorator that registers a log factory for a URL scheme.

    The factory takes the whole URL.
    """
    return _log_factories.registers(scheme)


def instance_list_adapter(
    scheme: str,
) -> Callable[[InstanceListFactory], InstanceListFactory]:
    """Return a decorator that registers an instance-list factory.

    The factory takes the whole URL.

    :param scheme: URL scheme that the factory serves.
    """
    return _instance_list_factories.registers(scheme)


def make_log(url: str) -> PlatformLog:
    """Build the log adapter for a URL.

    :raises UnknownAdapterError: if no adapter is registered for the scheme.
    """
    return _log_factories.make(url)


def make_instance_list(url: str) -> InstanceList:
    """Build the instance-list adapter for a URL.

    :raises UnknownAdapterError: if no adapter is registered for the scheme.
    """
    return _instance_list_factories.make(url)
