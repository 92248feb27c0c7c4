"""Queues by host and path, and workspaces by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.access.caller import UNRESTRICTED
from magnoliapitch.access.caller import Caller
from magnoliapitch.workload.configuration import Queue


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Workspace


class _HostQueues(NamedTuple):
    """Queues of one host.

    :param prefix_lengths: lengths that occur, longest first.
    """

    by_prefix: dict[str, Queue]
    prefix_lengths: tuple[int, ...]


class AccessTable(NamedTuple):
    """Lookup table of one configuration.

    A lookup takes one probe for each length of prefix that the host has,
    however many queues there are.

    :param requires_keys: whether there are workspaces, so that queues that
        are not public require an API key.
    :param callers_by_key: callers by the bytes of their API key.
    """

    requires_keys: bool
    queues_by_host: dict[str, _HostQueues]
    callers_by_key: dict[bytes, Caller]

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> AccessTable:
        """Build the table of a configuration."""
        workspaces = configuration.workspaces_by_name
        return cls(
            bool(workspaces),
            _queues_by_host(configuration.queues_by_name.values()),
            _callers_by_key(workspaces.values()),
        )

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host whose prefix of a path is the longest."""
        queues = self.queues_by_host.get(host)
        if queues is None:
            return None
        for length in queues.prefix_lengths:
            queue = queues.by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    def caller_for(self, queue: Queue, key: bytes) -> Caller | None:
        """Return who calls with a key, or None if the key is not accepted.

        On a public queue, a call without a known key has no workspace.

        :param key: API key, empty if none was sent.
        """
        if not self.requires_keys:
            return UNRESTRICTED
        caller = self.callers_by_key.get(key)
        if caller is None and queue.is_public:
            return Caller(is_restricted=True)
        return caller


def _queues_by_host(queues: Iterable[Queue]) -> dict[str, _HostQueues]:
    by_host: dict[str, dict[str, Queue]] = {}
    for queue in queues:
        by_prefix = by_host.setdefault(queue.host, {})
        # The first of two queues keeps a prefix.
        by_prefix.setdefault(queue.path_prefix, queue)
    return {
        host: _HostQueues(by_prefix, _lengths_longest_first(by_prefix))
        for host, by_prefix in by_host.items()
    }


def _lengths_longest_first(prefixes: Iterable[str]) -> tuple[int, ...]:
    return tuple(sorted({len(prefix) for prefix in prefixes}, reverse=True))


def _callers_by_key(workspaces: Iterable[Workspace]) -> dict[bytes, Caller]:
    """Return callers by key; the first of two workspaces keeps a key."""
    callers_by_key: dict[bytes, Caller] = {}
    for workspace in workspaces:
        caller = Caller(workspace.name, is_restricted=True)
        for key in workspace.api_keys:
            if key:
                callers_by_key.setdefault(key.encode(), caller)
    return callers_by_key
