"""HTTP interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from magnoliapitch.api.catalogue import add_catalogue_routes
from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import json_response
from magnoliapitch.metric.prometheus import CONTENT_TYPE
from magnoliapitch.metric.prometheus import prometheus_text


if TYPE_CHECKING:
    from magnoliapitch.entry.core import EntryCore
    from magnoliapitch.metric import ProcessUsageMeter
    from magnoliapitch.supervisor import Supervisor


class AdminNode(Protocol):
    """Parts of an entry instance that the operators' routes use."""

    @property
    def core(self) -> EntryCore:
        """Return the components of the instance."""

    @property
    def usage_meter(self) -> ProcessUsageMeter:
        """Return the meter of the process's resource usage."""

    @property
    def supervisor(self) -> Supervisor:
        """Return the root supervisor of the instance."""

    def dump(self) -> dict[str, object]:
        """Return the state of all components."""

    def is_ready(self) -> bool:
        """Return whether the instance can serve callers."""


def admin_application(node: AdminNode) -> Application:
    """Create the application that serves operators."""
    application = Application()
    add_catalogue_routes(application, node.core)
    _add_state_routes(application, node)
    _add_probe_routes(application, node)
    return application


def _add_state_routes(application: Application, node: AdminNode) -> None:
    @application.route("GET", "/v1/state")
    def state(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        return json_response(node.dump())

    @application.route("GET", "/v1/metrics")
    def metrics(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        text = prometheus_text(node.core.metrics, node.usage_meter.read())
        return HttpResponse(200, text.encode(), CONTENT_TYPE)

    @application.route("POST", "/v1/drain")
    def drain(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        node.core.drain()
        return json_response({"draining": True}, 202)


def _add_probe_routes(application: Application, node: AdminNode) -> None:
    @application.route("GET", "/v1/health")
    def health(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        alive = not node.supervisor.has_given_up
        body = {"alive": alive, "hung": node.supervisor.hung_children()}
        return json_response(body, 200 if alive else 503)

    @application.route("GET", "/v1/ready")
    def ready(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        is_ready = node.is_ready()
        body = {"ready": is_ready, "draining": node.core.is_draining}
        return json_response(body, 200 if is_ready else 503)
