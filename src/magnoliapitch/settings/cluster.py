"""Settings of an instance that schedules jobs from a shared store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.http.limits import HttpLimits
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.settings.check import check_ip_address
from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.problem import SettingsSource
from magnoliapitch.settings.problem import describe_problem
from magnoliapitch.toml_file import TomlFileError
from magnoliapitch.toml_file import read_toml


if TYPE_CHECKING:
    from pathlib import Path


Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
# Shorter notices would hold back all starts.
NoticeMilliseconds = Annotated[int, Field(ge=1_000, le=86_400_000)]
HostAndPort = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
OptionalHostAndPort = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$")
]


class EndpointSettings(NamedTuple):
    """Addresses of external systems, as ``IP:PORT``.

    :param store: the platform's metadata store, which keeps jobs and states.
    :param advisor: service that permits workers to run a step; empty if there
        is none.
    """

    store: HostAndPort
    advisor: OptionalHostAndPort = ""


class ListenSettings(NamedTuple):
    """Addresses and ports on which an instance listens.

    :param callers: ``IP:PORT`` for callers.
    :param readiness: ``IP:PORT`` for the load balancer's readiness check.
    :param peer_port: port for other instances, on the IP address for callers.
    :param metrics_port: port for metrics, on the IP address for callers.
    """

    callers: HostAndPort
    readiness: HostAndPort
    peer_port: Annotated[int, Field(ge=1, le=65_535)]
    metrics_port: Annotated[int, Field(ge=1, le=65_535)] = 9_464


class LeaseSettings(NamedTuple):
    """Lease duration and retention of job states.

    :param longest_ms: longest lease that a worker grants.
    :param keep_states_ms: how long the state of an ended job stays published.
    :param drain_notice_ms: how long a worker that has said that it leaves may
        still be sent starts.
    :param cancel_notice_ms: how long after a job's cancellation was stored its
        tasks may still be started.
    """

    longest_ms: Milliseconds = 10_000
    keep_states_ms: Milliseconds = 130_000
    drain_notice_ms: NoticeMilliseconds = 2_000
    cancel_notice_ms: NoticeMilliseconds = 3_000


class MachineSettings(NamedTuple):
    """Capacity of the machine that the instance runs on.

    :param cpu_share: share of a core that the instance may use.
    :param cores: speed of the processor, as a multiple of one core.
    :param link_mbps: bandwidth of the network link in megabits per second.
    """

    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cores: Annotated[float, Field(gt=0)] = 1.0
    link_mbps: Annotated[float, Field(gt=0)] = 1_000.0


class ClusterSettings(NamedTuple):
    """Settings of one instance that schedules jobs from a shared store.

    :param instance_id: unique name of the instance.
    :param zone: availability zone of the instance.
    :param planning: optional behaviour of the planner.
    :param http: limits of the callers' listener.
    :param log_level: lowest level of the events that are logged.
    """

    instance_id: Annotated[str, Field(min_length=1, max_length=120)]
    zone: str
    endpoints: EndpointSettings
    listen: ListenSettings
    leases: LeaseSettings = LeaseSettings()
    machine: MachineSettings = MachineSettings()
    planning: PlanningOptions = PlanningOptions()
    http: HttpLimits = HttpLimits()
    log_level: EventLevel = EventLevel.INFO


_SETTINGS_ADAPTER = TypeAdapter(ClusterSettings)

# Only files with cluster settings have this table.
CLUSTER_TABLE = "endpoints"


def is_cluster_file(path: Path) -> bool:
    """Return whether a file can be read and holds cluster settings."""
    try:
        return CLUSTER_TABLE in read_toml(path).value
    except TomlFileError:
        return False


def load_cluster_settings(path: Path) -> ClusterSettings:
    """Read and validate a TOML file of cluster settings.

    :raises InvalidSettingsError: if the file cannot be read or is invalid,
        with one line per problem.
    """
    try:
        file = read_toml(path)
    except TomlFileError as error:
        raise InvalidSettingsError((str(error),)) from error
    try:
        settings = _SETTINGS_ADAPTER.validate_python(file.value)
        check_ip_address(settings.listen.callers.partition(":")[0])
    except ValidationError as error:
        source = SettingsSource(file, {})
        problems = tuple(
            describe_problem(source, item) for item in error.errors()
        )
        raise InvalidSettingsError(problems) from error
    return settings
