"""Settings of an instance that schedules jobs from a shared store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.settings.check import check_ip_number
from magnoliapitch.settings.exceptions import InvalidSettingsError
from magnoliapitch.settings.problem import SettingsSource
from magnoliapitch.settings.problem import describe_problem
from magnoliapitch.toml_file import TomlFileError
from magnoliapitch.toml_file import read_toml


if TYPE_CHECKING:
    from pathlib import Path


Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
HostAndPort = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
OptionalHostAndPort = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$")
]


class EndpointSettings(NamedTuple):
    """Addresses of outside systems, as ``IP:PORT``.

    :param store: the store that keeps the streams.
    :param advisor: the service that permits steps; empty if none.
    """

    store: HostAndPort
    advisor: OptionalHostAndPort = ""


class ListenSettings(NamedTuple):
    """Where an instance listens.

    :param callers: ``IP:PORT`` for callers.
    :param readiness: ``IP:PORT`` of the balancer's readiness check.
    :param peer_port: port for other instances on the same IP number.
    :param metrics_port: port of the metrics on the callers' IP number.
    """

    callers: HostAndPort
    readiness: HostAndPort
    peer_port: Annotated[int, Field(ge=1, le=65_535)]
    metrics_port: Annotated[int, Field(ge=1, le=65_535)] = 9_464


class LeaseSettings(NamedTuple):
    """Times of the workers.

    :param longest_ms: longest lease that a worker grants.
    :param keep_states_ms: how long the state of an ended job is told.
    """

    longest_ms: Milliseconds = 10_000
    keep_states_ms: Milliseconds = 130_000


class MachineSettings(NamedTuple):
    """What the instance runs on.

    :param cpu_share: share of a core.
    :param cores: how many times as fast as one core the processor is.
    :param link_mbps: bandwidth of the link in megabits a second.
    """

    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cores: Annotated[float, Field(gt=0)] = 1.0
    link_mbps: Annotated[float, Field(gt=0)] = 1_000.0


class ClusterSettings(NamedTuple):
    """Settings of one instance.

    :param instance_id: unique name of the instance.
    :param zone: availability zone.
    :param log_level: lowest level of the events that are logged.
    """

    instance_id: Annotated[str, Field(min_length=1, max_length=120)]
    zone: str
    endpoints: EndpointSettings
    listen: ListenSettings
    leases: LeaseSettings = LeaseSettings()
    machine: MachineSettings = MachineSettings()
    log_level: EventLevel = EventLevel.INFO


_ADAPTER = TypeAdapter(ClusterSettings)

# The table that tells these settings from those of a single deployment.
MARK = "endpoints"


def is_cluster_file(path: Path) -> bool:
    """Return whether a file holds settings of this kind."""
    try:
        return MARK in read_toml(path).value
    except TomlFileError:
        return False


def load_cluster_settings(path: Path) -> ClusterSettings:
    """Read a TOML settings file.

    :raises InvalidSettingsError: with one line a problem.
    """
    try:
        file = read_toml(path)
    except TomlFileError as error:
        raise InvalidSettingsError((str(error),)) from error
    try:
        settings = _ADAPTER.validate_python(file.value)
        check_ip_number(settings.listen.callers.partition(":")[0])
    except ValidationError as error:
        source = SettingsSource(file, {})
        problems = tuple(
            describe_problem(source, item) for item in error.errors()
        )
        raise InvalidSettingsError(problems) from error
    return settings
