"""Pools of the connections to several servers."""

from __future__ import annotations

import threading

import urllib3


# Beyond this number, the pools of servers that were not called lately are
# closed.
MAX_SERVERS = 512


class ConnectionPools:
    """Opens a pool of connections for each server; thread-safe.

    :param connections: idle connections kept open to each server.
    """

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._lock = threading.Lock()
        # Pools used since the last call of ``close_unused``, and those used
        # before it only.
        self._used_by_origin: dict[str, urllib3.HTTPConnectionPool] = {}
        self._unused_by_origin: dict[str, urllib3.HTTPConnectionPool] = {}

    def pool_of(self, origin: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of a server, given as scheme, host and port."""
        pool = self._used_by_origin.get(origin)
        if pool is not None:
            return pool
        if len(self._used_by_origin) >= MAX_SERVERS:
            self.close_unused()
        with self._lock:
            pool = self._used_by_origin.get(origin)
            if pool is None:
                # A PoolManager would normalise the URL at each call.
                pool = self._unused_by_origin.pop(
                    origin, None
                ) or urllib3.connection_from_url(
                    origin, maxsize=self._connections
                )
                self._used_by_origin[origin] = pool
            return pool

    def close_unused(self) -> None:
        """Close the pools that were not used since the call before.

        Connections in use are closed when their call ends.
        """
        with self._lock:
            closed = self._unused_by_origin
            self._unused_by_origin = self._used_by_origin
            self._used_by_origin = {}
        for pool in closed.values():
            pool.close()
