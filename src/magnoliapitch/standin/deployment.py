"""Deployment files: size, catalogue and workload of a stand-in cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.file import TABLE
from magnoliapitch.catalogue.file import read_entries
from magnoliapitch.resource import Resources
from magnoliapitch.standin.cluster import ClusterShape
from magnoliapitch.standin.exceptions import InvalidDeploymentError
from magnoliapitch.toml_file import read_toml
from magnoliapitch.validation import describe_error


if TYPE_CHECKING:
    from pathlib import Path


Size = Annotated[int, Field(ge=0, le=1_000, strict=True)]


class JobPlan(NamedTuple):
    """Jobs of one kind that the demonstration submits.

    :param entry: catalogue entry of the jobs.
    :param jobs: number of jobs to submit.
    :param tasks: number of tasks of each job.
    :param resources: resources that each task reserves.
    :param run_ms: run time of each task, in milliseconds.
    """

    entry: str
    jobs: Size
    tasks: Size
    resources: Resources
    run_ms: Annotated[int, Field(ge=1, strict=True)]


class RequestPlan(NamedTuple):
    """Small requests of one kind that the demonstration sends.

    :param entry: catalogue entry of the requests.
    :param requests: number of requests to send.
    """

    entry: str
    requests: Annotated[int, Field(ge=0, le=100_000, strict=True)]


class Deployment(NamedTuple):
    """Contents of a deployment file.

    :param name: name of the deployment.
    :param region: region of the deployment.
    :param app: application of the backend servers.
    :param capacity: resources of each worker.
    :param zones: names of the availability zones.
    :param entries: number of entry instances, spread over the zones.
    :param workers_per_zone: number of workers of each zone, in one rack.
    :param backend_servers_per_zone: number of backend servers of each zone.
    :param slots: requests that a backend server executes at once.
    :param connections: connections that a backend server accepts.
    :param request_ms: run time of a small request, in milliseconds.
    :param requests: small requests of the workload.
    :param jobs: jobs of the workload.
    :param catalogue: catalogue entries.
    """

    name: str
    region: str
    app: str
    zones: Annotated[tuple[str, ...], Field(min_length=1)]
    capacity: Resources
    entries: Size = 6
    workers_per_zone: Size = 8
    backend_servers_per_zone: Size = 8
    slots: Size = 8
    connections: Size = 64
    request_ms: Size = 5
    requests: tuple[RequestPlan, ...] = ()
    jobs: tuple[JobPlan, ...] = ()
    catalogue: tuple[CatalogueEntry, ...] = ()

    def shape(self) -> ClusterShape:
        """Return the shape of the stand-in cluster."""
        return ClusterShape(
            self.zones,
            self.app,
            self.capacity,
            self.workers_per_zone,
            self.backend_servers_per_zone,
            self.slots,
            self.connections,
        )


_ADAPTER = TypeAdapter(Deployment, config=ConfigDict(extra="forbid"))


def load_deployment(path: Path) -> Deployment:
    """Read a deployment file and check it.

    :raises InvalidDeploymentError: if the file cannot be read or is not
        valid.
    """
    try:
        entries = read_entries(path)
        file = read_toml(path)
    except ValueError as error:
        raise InvalidDeploymentError((str(error),)) from error
    value = {key: item for key, item in file.value.items() if key != TABLE}
    try:
        deployment = _ADAPTER.validate_python(value)
    except ValidationError as error:
        problems = tuple(
            f"{path}: {describe_error(item, Deployment._fields)}"
            for item in error.errors()
        )
        raise InvalidDeploymentError(problems) from error
    _check_plan_entries(path, deployment, entries)
    return deployment._replace(catalogue=entries)


def _check_plan_entries(
    path: Path, deployment: Deployment, entries: tuple[CatalogueEntry, ...]
) -> None:
    known_names = {entry.name for entry in entries}
    used_names = [plan.entry for plan in deployment.requests]
    used_names += [plan.entry for plan in deployment.jobs]
    problems = tuple(
        f"{path}: entry: found {name!r}; the catalogue has "
        f"{', '.join(sorted(known_names))}"
        for name in used_names
        if name not in known_names
    )
    if problems:
        raise InvalidDeploymentError(problems)
