"""Adapters to the external systems that an entry instance calls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.adapter.registry import make_instance_list
from magnoliapitch.adapter.registry import make_log
from magnoliapitch.backend.client import BackendClient
from magnoliapitch.backend.http_client import HttpBackendClient
from magnoliapitch.journal import http_log as _log  # noqa: F401
from magnoliapitch.journal.log import PlatformLog
from magnoliapitch.membership import http_instance_list as _list  # noqa: F401
from magnoliapitch.membership.instance import InstanceList
from magnoliapitch.worker.http_pool import HttpWorkerPool
from magnoliapitch.worker.pool import WorkerPool


if TYPE_CHECKING:
    from magnoliapitch.settings.model import Settings


class Adapters(NamedTuple):
    """Clients of all external systems of an entry instance."""

    log: PlatformLog
    instance_list: InstanceList
    workers: WorkerPool
    backends: BackendClient

    @classmethod
    def from_settings(cls, settings: Settings) -> Adapters:
        """Create the adapters that the settings select."""
        return cls(
            make_log(settings.platform.log_url),
            make_instance_list(settings.platform.instance_list_url),
            HttpWorkerPool(),
            HttpBackendClient(),
        )
