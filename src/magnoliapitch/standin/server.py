"""HTTP server of the stand-ins, for entry instances in other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import TypeAdapter
from result import Err
from result import Result

from magnoliapitch.backend.client import BackendRequest
from magnoliapitch.backend.http_client import LEAVING_HEADER
from magnoliapitch.backend.http_client import NOT_RUN_HEADER
from magnoliapitch.backend.http_client import REQUEST_ID_HEADER
from magnoliapitch.http import Application
from magnoliapitch.http import HttpLimits
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.json_value import to_json_value
from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.backend.client import BackendResponse
    from magnoliapitch.standin.backend import StandinBackends
    from magnoliapitch.standin.instance import StandinInstanceList
    from magnoliapitch.standin.log import StandinLog
    from magnoliapitch.standin.worker import StandinWorkers
    from magnoliapitch.verdict import Failure


ValueT = TypeVar("ValueT")

BODY_MAX_BYTES = 1 << 26

_GRANTS = TypeAdapter(tuple[LeaseGrant, ...])


def platform_application(
    log: StandinLog, instance_list: StandinInstanceList
) -> Application:
    """Return an application that serves the log and the instance list."""
    application = Application(BODY_MAX_BYTES)

    @application.route("POST", "/log/append")
    def append(request: HttpRequest) -> HttpResponse:
        data = request.json()["data"].encode()
        return _respond(log.append(data), lambda offset: {"offset": offset})

    @application.route("GET", "/log/read")
    def read(request: HttpRequest) -> HttpResponse:
        query = request.query_by_name
        outcome = log.read(
            int(query["from"]), int(query["limit"]), int(query["wait_ms"])
        )
        return _respond(
            outcome,
            lambda log_slice: {
                "records": [
                    {"offset": item.offset, "data": item.data.decode()}
                    for item in log_slice.records
                ],
                "oldest": log_slice.oldest,
                "head": log_slice.head,
            },
        )

    @application.route("GET", "/instances")
    def instances(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        return _respond(
            instance_list.instances(),
            lambda found: {"instances": to_json_value(found)},
        )

    return application


def add_worker_routes(
    application: Application,
    workers: StandinWorkers,
    infos_by_id: dict[str, InstanceInfo],
) -> None:
    """Add the routes of the workers, below ``/workers/ID``."""

    def respond(outcome: Result[WorkerView, Failure]) -> HttpResponse:
        return _respond(outcome, to_json_value)

    @application.route("POST", "/workers/{worker}/view")
    def view(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        return respond(workers.view(info))

    @application.route("POST", "/workers/{worker}/start")
    def start(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        grants = _GRANTS.validate_python(request.json()["grants"])
        return respond(workers.start(info, grants))

    @application.route("POST", "/workers/{worker}/renew")
    def renew(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        value = request.json()
        return respond(
            workers.renew(
                info, tuple(value["lease_ids"]), value["expires_at_ms"]
            )
        )

    @application.route("POST", "/workers/{worker}/stop")
    def stop(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        lease_ids = tuple(request.json()["lease_ids"])
        return respond(workers.stop(info, lease_ids))

    @application.route("POST", "/workers/{worker}/checkpoint")
    def checkpoint(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        lease_ids = tuple(request.json()["lease_ids"])
        return respond(workers.checkpoint(info, lease_ids))

    @application.route("POST", "/workers/{worker}/throttle")
    def throttle(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["worker"]]
        value = request.json()
        return respond(
            workers.throttle(info, value["lease_id"], value["cpu_millis"])
        )


def add_backend_routes(
    application: Application,
    backends: StandinBackends,
    infos_by_id: dict[str, InstanceInfo],
) -> None:
    """Add the routes of the backend servers, below ``/backends/ID``."""

    @application.route("POST", "/backends/{server}/requests/{entry}")
    def execute(request: HttpRequest) -> HttpResponse:
        info = infos_by_id[request.path_values["server"]]
        request_id = request.headers_by_name["x-request-id"]
        outcome = backends.send(
            info,
            BackendRequest(
                request_id, request.path_values["entry"], request.body, 0
            ),
        )
        return _backend_response(request_id, outcome)


def _backend_response(
    request_id: str, outcome: Result[BackendResponse, Failure]
) -> HttpResponse:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        if failure.verdict is not Verdict.NOT_RUN:
            wrong_id = ((REQUEST_ID_HEADER, "other"),)
            return HttpResponse(200, b"{}", headers=wrong_id)
        headers: tuple[tuple[str, str], ...] = ((NOT_RUN_HEADER, "1"),)
        if failure.code is FailureCode.SHUTTING_DOWN:
            headers += ((LEAVING_HEADER, "1"),)
        return HttpResponse(503, headers=headers)
    response = outcome.ok_value
    response_headers: tuple[tuple[str, str], ...] = (
        (REQUEST_ID_HEADER, request_id),
    )
    if response.leaving:
        response_headers += ((LEAVING_HEADER, "1"),)
    return HttpResponse(
        response.status, response.body, response.content_type, response_headers
    )


def _respond(
    outcome: Result[ValueT, Failure], encode: Callable[[ValueT], object]
) -> HttpResponse:
    if isinstance(outcome, Err):
        return problem_response(outcome.err_value)
    return json_response(encode(outcome.ok_value))


class StandinServer:
    """Serves the stand-ins of a cluster on one loopback port.

    The URLs of workers and backend servers in the instance list point at it.
    """

    def __init__(
        self,
        log: StandinLog,
        instance_list: StandinInstanceList,
        workers: StandinWorkers,
        backends: StandinBackends,
        threads: int = 64,
        port: int = 0,
    ) -> None:
        application = platform_application(log, instance_list)
        add_worker_routes(application, workers, instance_list.by_id)
        add_backend_routes(application, backends, instance_list.by_id)
        self._listener = Listener(
            "standin",
            ("127.0.0.1", port),
            application,
            threads,
            limits=HttpLimits(BODY_MAX_BYTES),
        )
        self._instance_list = instance_list

    def start(self) -> None:
        """Start to serve and set the URLs in the instance list.

        :raises StartError: if the port cannot be bound.
        """
        self._listener.start()
        for instance_id, info in self._instance_list.by_id.items():
            kind = (
                "workers" if info.role is InstanceRole.WORKER else "backends"
            )
            url = f"{self.url}/{kind}/{instance_id}"
            self._instance_list.by_id[instance_id] = info._replace(url=url)

    def stop(self) -> None:
        """Stop serving."""
        self._listener.stop()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self._listener.port}"
