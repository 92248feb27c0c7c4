"""Decides for each call whether it is allowed, by the newest configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.access.caller import Caller
from magnoliapitch.access.credentials import bearer_key
from magnoliapitch.access.rejection import unauthenticated_failure
from magnoliapitch.access.table import AccessTable
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Queue


if TYPE_CHECKING:
    from magnoliapitch.access.freshness import ConfigurationFreshness
    from magnoliapitch.metric import Metrics
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration


CONFIGURATION_RETRY_AFTER_MS = 1_000


class Grant(NamedTuple):
    """An allowed call: the queue that serves it, and who makes it."""

    queue: Queue
    caller: Caller


class AccessGate:
    """Decides which calls are allowed; thread-safe.

    :param freshness: age of the configuration; where keys are required, a
        call waits a limited time for a check if it is too high.
    """

    def __init__(
        self, freshness: ConfigurationFreshness, metrics: Metrics
    ) -> None:
        self._freshness = freshness
        self._metrics = metrics
        self._table: AccessTable | None = None

    def configure(self, configuration: Configuration) -> None:
        """Replace the configuration in use."""
        self._table = AccessTable.from_configuration(configuration)

    def decide(
        self, host: str, path: str, authorization: str
    ) -> Result[Grant, Failure]:
        """Return the queue and the caller of a call.

        :param authorization: value of the header, empty if there is none.
        :return: the failure is ``NOT_FOUND`` if no queue serves the path,
            whatever the key, else ``UNAUTHENTICATED`` without a known key.
        """
        table = self._newest_table()
        if table is None:
            return Err(_not_configured())
        queue = table.queue_for(host, path)
        if queue is None:
            detail = f"no queue serves host {host!r} and path {path}"
            return Err(not_run(FailureCode.NOT_FOUND, detail))
        caller = table.caller_for(queue, bearer_key(authorization))
        if caller is None:
            return Err(
                unauthenticated_failure(
                    queue, path, authorization, self._metrics
                )
            )
        return Ok(Grant(queue, caller))

    def _newest_table(self) -> AccessTable | None:
        table = self._table
        if table is None or not table.requires_keys:
            return table
        if self._freshness.is_stale():
            with self._metrics.timing("configuration_wait"):
                self._freshness.wait_for_check()
        return self._table


def _not_configured() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE,
        "no configuration was read yet",
        CONFIGURATION_RETRY_AFTER_MS,
    )
