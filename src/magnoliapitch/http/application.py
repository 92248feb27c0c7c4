"""A WSGI application made of registered routes."""

from __future__ import annotations

import re

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import unquote

from magnoliapitch.http.message import HttpRequest
from magnoliapitch.http.message import HttpResponse
from magnoliapitch.http.problem import problem_response
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


Handler = Callable[[HttpRequest], HttpResponse]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

BODY_MAX_BYTES = 1 << 20


class _Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Application:
    """Dispatches requests to handlers that ``route`` registers."""

    def __init__(self, body_max_bytes: int = BODY_MAX_BYTES) -> None:
        self._routes: list[_Route] = []
        self._body_max_bytes = body_max_bytes

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``{name}`` in the path is a placeholder."""
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)

        def register(handler: Handler) -> Handler:
            pattern = re.compile(f"^{expression}$")
            self._routes.append(_Route(method, pattern, handler))
            return handler

        return register

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Call the handler of the matching route."""
        other_methods = False
        for route in self._routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            if route.method != request.method:
                other_methods = True
                continue
            values = {
                name: unquote(value)
                for name, value in match.groupdict().items()
            }
            return route.handler(request._replace(path_values=values))
        what = "method" if other_methods else "path"
        return problem_response(
            not_run(
                FailureCode.NOT_FOUND,
                f"no such {what}: {request.method} {request.path}",
            )
        )

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        response = self._respond(environ)
        status = HTTPStatus(response.status)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [response.body]

    def _respond(self, environ: dict[str, Any]) -> HttpResponse:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self._body_max_bytes:
            return problem_response(
                not_run(
                    FailureCode.INVALID,
                    f"body of {length} bytes; at most "
                    f"{self._body_max_bytes} are allowed",
                )
            )
        body = environ["wsgi.input"].read(length) if length else b""
        return self.handle(_request_from(environ, body))


def _request_from(environ: dict[str, Any], body: bytes) -> HttpRequest:
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return HttpRequest(
        environ["REQUEST_METHOD"],
        environ.get("PATH_INFO", "/"),
        {},
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        body,
    )
