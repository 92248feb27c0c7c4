"""Interface of the platform's list of instances."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


class InstanceRole(StrEnum):
    """Kind of work that an instance does."""

    ENTRY = "entry"
    WORKER = "worker"
    BACKEND_SERVER = "backend-server"


class InstanceState(StrEnum):
    """State of an instance as the platform last reported it."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceInfo(NamedTuple):
    """One row of the platform's list of instances.

    :param instance_id: unique name of the instance.
    :param role: what the instance does.
    :param zone: availability zone.
    :param url: base URL with an IP address, ``http://IP:PORT/PATH``; for
        an entry instance ``IP:PORT`` of its peer listener.
    :param state: live, or about to leave.
    :param unit: rack of a worker or group of a backend server.
    :param app: application of a backend server.
    :param capacity: total resources of a worker.
    :param slots: number of requests a backend server executes at once.
    :param connections: number of connections a backend server accepts.
    """

    instance_id: str
    role: InstanceRole
    zone: str
    url: str
    state: InstanceState = InstanceState.LIVE
    unit: str = ""
    app: str = ""
    capacity: Resources = NO_RESOURCES
    slots: int = 0
    connections: int = 0


class InstanceList(Protocol):
    """Source of the live and leaving instances, possibly out of date."""

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        """Return all listed instances."""
