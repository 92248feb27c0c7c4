"""WSGI application that dispatches requests to registered routes."""

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
from magnoliapitch.http.body import CONNECTION_CLOSE
from magnoliapitch.http.body import RETRY_AFTER_MS
from magnoliapitch.http.body import read_body
from magnoliapitch.http.large_bodies import LARGE_BODY_BYTES
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
    from magnoliapitch.http.large_bodies import LargeBodies
    from magnoliapitch.verdict import Failure


Handler = Callable[[HttpRequest], HttpResponse]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

DEFAULT_LIMITS = HttpLimits()

_UNSAFE_HEADER_CHARACTERS = re.compile(r"[^\t -~\x80-\xff]")


class Route(NamedTuple):
    """A handler registered for a method and a path.

    :param method: HTTP method in upper case.
    :param path: path with ``{name}`` for placeholders.
    :param pattern: expression that matches the whole path and captures the
        values of the placeholders.
    """

    method: str
    path: str
    pattern: re.Pattern[str]
    handler: Handler


class Application:
    """Dispatches requests to the handlers registered with ``route``.

    :param body_max_bytes: longest accepted request body.
    :param closes_connections: returns whether responses currently ask for
        their connection to be closed.
    :param large_bodies: limits the large bodies that are handled at a time;
        None to limit them not.
    :ivar routes: registered routes, in order of registration.
    """

    def __init__(
        self,
        body_max_bytes: int = DEFAULT_LIMITS.body_max_bytes,
        closes_connections: Callable[[], bool] | None = None,
        large_bodies: LargeBodies | None = None,
    ) -> None:
        self.routes: list[Route] = []
        self._largest_body_bytes = body_max_bytes
        self._body_max_bytes = body_max_bytes
        self._large_bodies = large_bodies
        self._closes_connections = closes_connections

    def limit_body(self, max_bytes: int) -> None:
        """Accept bodies up to a length, at most that of the constructor."""
        self._body_max_bytes = min(self._largest_body_bytes, max_bytes)

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler.

        :param path: path; ``{name}`` is a placeholder for one segment.
        """
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)

        def register(handler: Handler) -> Handler:
            pattern = re.compile(f"{expression}\\Z")
            self.routes.append(Route(method, path, pattern, handler))
            return handler

        return register

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Call the handler of the first matching route.

        :return: the handler's response, or 404 or 405 as problem details.
        """
        allowed_methods: list[str] = []
        for route in self.routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            if route.method != request.method:
                allowed_methods.append(route.method)
                continue
            values = {
                name: unquote(value)
                for name, value in match.groupdict().items()
            }
            return route.handler(request._replace(path_values=values))
        return _no_matching_route(request, allowed_methods)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one WSGI request and return the chunks of the body."""
        request_id = _received_request_id(environ)
        if not is_valid_request_id(request_id):
            return self.refuse(
                environ, start_response, _invalid_request_id_failure()
            )
        body = read_body(environ, self._body_max_bytes)
        if not isinstance(body, bytes):
            return self._send(environ, start_response, body)
        request = _parse_request(environ, request_id, body)
        with request_context(request_id):
            response = self._handle_in_turn(request)
        return self._send(environ, start_response, response)

    def refuse(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        failure: Failure,
    ) -> Iterable[bytes]:
        """Respond with a failure without reading the request body.

        A chunked body has no known length to skip, so the connection is
        closed.
        """
        response = problem_response(failure, _valid_request_id(environ))
        if environ.get("wsgi.input_terminated"):
            response = response._replace(
                headers=(*response.headers, CONNECTION_CLOSE)
            )
        return self._send(environ, start_response, response)

    def _handle_in_turn(self, request: HttpRequest) -> HttpResponse:
        if self._large_bodies is None:
            return self._handle_safely(request)
        with self._large_bodies.turn(len(request.body)) as has_turn:
            if has_turn:
                return self._handle_safely(request)
        return problem_response(_too_many_bodies(), request.request_id)

    def _handle_safely(self, request: HttpRequest) -> HttpResponse:
        try:
            return self.handle(request)
        except Exception as error:
            log_event("request-failed", path=request.path, error=error)
            failure = may_have_run(FailureCode.INTERNAL, "internal error")
            return problem_response(failure, request.request_id)

    def _send(
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
            headers.append((REQUEST_ID_HEADER, _valid_request_id(environ)))
        must_close = (
            self._closes_connections is not None and self._closes_connections()
        )
        if must_close and CONNECTION_CLOSE not in headers:
            headers.append(CONNECTION_CLOSE)
        safe_headers = [
            (name, _UNSAFE_HEADER_CHARACTERS.sub(" ", value))
            for name, value in headers
        ]
        start_response(_status_line(response.status), safe_headers)
        return [response.body]


def _received_request_id(environ: dict[str, Any]) -> str:
    request_id: str = environ.get("HTTP_X_REQUEST_ID", "")
    if not request_id:
        request_id = environ["HTTP_X_REQUEST_ID"] = new_request_id()
    return request_id


def _valid_request_id(environ: dict[str, Any]) -> str:
    if not is_valid_request_id(_received_request_id(environ)):
        environ["HTTP_X_REQUEST_ID"] = new_request_id()
    return _received_request_id(environ)


def _invalid_request_id_failure() -> Failure:
    return not_run(
        FailureCode.INVALID,
        f"{REQUEST_ID_HEADER} must be 1 to 128 letters, digits "
        "or any of ._~:/+=@-",
    )


def _too_many_bodies() -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"too many requests with more than {LARGE_BODY_BYTES} bytes are "
        "handled; this one was not",
        RETRY_AFTER_MS,
    )


def _no_matching_route(
    request: HttpRequest, allowed_methods: list[str]
) -> HttpResponse:
    if not allowed_methods:
        failure = not_run(
            FailureCode.NOT_FOUND, f"no route for path {request.path}"
        )
        return problem_response(failure, request.request_id)
    failure = not_run(
        FailureCode.INVALID,
        f"{request.path} does not allow method {request.method}",
    )
    response = problem_response(
        failure, request.request_id, HTTPStatus.METHOD_NOT_ALLOWED
    )
    allow = ("Allow", ", ".join(sorted(allowed_methods)))
    return response._replace(headers=(*response.headers, allow))


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _parse_request(
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
