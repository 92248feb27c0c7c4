"""A WSGI application made of registered routes."""

from __future__ import annotations

import re

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import unquote

from magnoliapitch.event import log_event
from magnoliapitch.event import request_context
from magnoliapitch.http.body import CLOSE
from magnoliapitch.http.body import read_body
from magnoliapitch.http.limits import HttpLimits
from magnoliapitch.http.message import HttpRequest
from magnoliapitch.http.message import HttpResponse
from magnoliapitch.http.problem import problem_response
from magnoliapitch.http.request_id import REQUEST_ID_HEADER
from magnoliapitch.http.request_id import is_valid_request_id
from magnoliapitch.http.request_id import new_request_id
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.verdict import Failure


Handler = Callable[[HttpRequest], HttpResponse]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

DEFAULT_LIMITS = HttpLimits()

_UNSAFE = re.compile(r"[^\t -~\x80-\xff]")


class Route(NamedTuple):
    """A registered handler.

    :param path: path with ``{name}`` for placeholders.
    """

    method: str
    path: str
    pattern: re.Pattern[str]
    handler: Handler


class Application:
    """Dispatches requests to handlers that ``route`` registers.

    :param is_closing: tells whether answers end their connection.
    :ivar routes: everything that was registered.
    """

    def __init__(
        self,
        body_max_bytes: int = DEFAULT_LIMITS.body_max_bytes,
        is_closing: Callable[[], bool] | None = None,
    ) -> None:
        self.routes: list[Route] = []
        self._body_max_bytes = body_max_bytes
        self._is_closing = is_closing

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``{name}`` in the path is a placeholder."""
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)

        def register(handler: Handler) -> Handler:
            pattern = re.compile(f"{expression}\\Z")
            self.routes.append(Route(method, path, pattern, handler))
            return handler

        return register

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Call the handler of the matching route."""
        methods: list[str] = []
        for route in self.routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            if route.method != request.method:
                methods.append(route.method)
                continue
            values = {
                name: unquote(value)
                for name, value in match.groupdict().items()
            }
            return route.handler(request._replace(path_values=values))
        return _no_route(request, methods)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        request_id = _given_id(environ)
        if not is_valid_request_id(request_id):
            return self.refuse(environ, start_response, _invalid_id())
        body = read_body(environ, self._body_max_bytes)
        if not isinstance(body, bytes):
            return self._write(environ, start_response, body)
        request = _request_from(environ, request_id, body)
        with request_context(request_id):
            response = self._handle_safely(request)
        return self._write(environ, start_response, response)

    def refuse(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        failure: Failure,
    ) -> Iterable[bytes]:
        """Answer a WSGI request with a failure, its body unread."""
        response = problem_response(failure, _own_id(environ))
        if environ.get("wsgi.input_terminated"):
            response = response._replace(headers=(*response.headers, CLOSE))
        return self._write(environ, start_response, response)

    def _handle_safely(self, request: HttpRequest) -> HttpResponse:
        try:
            return self.handle(request)
        except Exception as error:
            log_event("request-failed", path=request.path, error=error)
            failure = may_have_run(FailureCode.INTERNAL, "internal error")
            return problem_response(failure, request.request_id)

    def _write(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        response: HttpResponse,
    ) -> Iterable[bytes]:
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if not any(name == REQUEST_ID_HEADER for name, _ in headers):
            headers.append((REQUEST_ID_HEADER, _own_id(environ)))
        is_closing = self._is_closing is not None and self._is_closing()
        if is_closing and CLOSE not in headers:
            headers.append(CLOSE)
        safe = [(name, _UNSAFE.sub(" ", value)) for name, value in headers]
        start_response(_status_line(response.status), safe)
        return [response.body]


def _given_id(environ: dict[str, Any]) -> str:
    given: str = environ.get("HTTP_X_REQUEST_ID", "")
    if not given:
        given = environ["HTTP_X_REQUEST_ID"] = new_request_id()
    return given


def _own_id(environ: dict[str, Any]) -> str:
    if not is_valid_request_id(_given_id(environ)):
        environ["HTTP_X_REQUEST_ID"] = new_request_id()
    return _given_id(environ)


def _invalid_id() -> Failure:
    return not_run(
        FailureCode.INVALID,
        f"{REQUEST_ID_HEADER} must be 1 to 128 letters, digits "
        "or any of ._~:/+=@-",
    )


def _no_route(request: HttpRequest, methods: list[str]) -> HttpResponse:
    if not methods:
        failure = not_run(
            FailureCode.NOT_FOUND, f"no such path: {request.path}"
        )
        return problem_response(failure, request.request_id)
    failure = not_run(
        FailureCode.INVALID,
        f"{request.path} does not allow {request.method}",
    )
    response = problem_response(
        failure, request.request_id, HTTPStatus.METHOD_NOT_ALLOWED
    )
    allow = ("Allow", ", ".join(sorted(methods)))
    return response._replace(headers=(*response.headers, allow))


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _request_from(
    environ: dict[str, Any], request_id: str, body: bytes
) -> HttpRequest:
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
        request_id,
    )
