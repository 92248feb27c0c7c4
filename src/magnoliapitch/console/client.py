"""Sends the HTTP calls of commands to an instance."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import NamedTuple

import orjson
import urllib3

from cyclopts import Parameter

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.verdict import Verdict


RESPONSE_TIMEOUT_S = 60
MAX_REDIRECTS = 3
URL_SCHEMES = ("http://", "https://")
FIRST_FAILURE_STATUS = 300

DEFAULT_CALLER_URL = "http://127.0.0.1:8080"
DEFAULT_ADMIN_URL = "http://127.0.0.1:8081"

CallerUrlOption = Annotated[
    str, Parameter(name="--server", env_var="MAGNOLIAPITCH_URL")
]
AdminUrlOption = Annotated[
    str, Parameter(name="--server", env_var="MAGNOLIAPITCH_ADMIN_URL")
]
JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]


class HttpCall(NamedTuple):
    """One HTTP call.

    :param method: HTTP method.
    :param path: absolute path, with the query if there is one.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] | None = None


def send(server: str, call: HttpCall) -> urllib3.BaseHTTPResponse:
    """Send a call and return its response if it is successful.

    The call is not retried; redirects are followed.

    :param server: URL of the interface to call.
    :raises CommandError: if the URL is invalid, no response comes, or
        the response has a status of 300 or higher.
    """
    response = _send_once(server, call)
    if response.status >= FIRST_FAILURE_STATUS:
        raise _error_from_response(response)
    return response


def decode_json(response: urllib3.BaseHTTPResponse) -> Any:
    """Return the decoded JSON body of a response.

    :raises CommandError: if the response is not JSON.
    """
    try:
        return orjson.loads(response.data)
    except orjson.JSONDecodeError as error:
        raise CommandError(
            f"the server's response is not JSON: {error}; is this the address "
            f"of a magnoliapitch instance?",
            ExitCode.FAILED,
        ) from error


def _send_once(server: str, call: HttpCall) -> urllib3.BaseHTTPResponse:
    if not server.startswith(URL_SCHEMES):
        raise _error_for_invalid_url(server)
    retries = urllib3.Retry(
        total=None,
        connect=0,
        read=0,
        status=0,
        other=0,
        redirect=MAX_REDIRECTS,
        raise_on_redirect=False,
    )
    try:
        return urllib3.request(
            call.method,
            server.rstrip("/") + call.path,
            body=call.body,
            headers=dict(call.headers or {}),
            timeout=RESPONSE_TIMEOUT_S,
            retries=retries,
        )
    except urllib3.exceptions.LocationValueError as error:
        raise _error_for_invalid_url(server) from error
    except urllib3.exceptions.HTTPError as error:
        raise _error_from_connection(server, error) from error


def _error_for_invalid_url(server: str) -> CommandError:
    message = (
        f"server address {server!r} is not a URL such as {DEFAULT_ADMIN_URL}"
    )
    return CommandError(message, ExitCode.USAGE)


def _error_from_connection(
    server: str, error: urllib3.exceptions.HTTPError
) -> CommandError:
    cause: Exception = error
    if isinstance(error, urllib3.exceptions.MaxRetryError) and error.reason:
        cause = error.reason
    was_never_sent = isinstance(
        cause,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ),
    )
    reason = str(cause).rpartition(": ")[2] or repr(cause)
    if was_never_sent:
        return CommandError(
            f"cannot reach {server}: {reason}", ExitCode.UNREACHABLE
        )
    return CommandError(
        f"no complete response from {server}: {reason}; "
        f"the request may have run",
        ExitCode.MAY_HAVE_RUN,
    )


def _error_from_response(response: urllib3.BaseHTTPResponse) -> CommandError:
    try:
        problem = orjson.loads(response.data)
        verdict = Verdict(problem["verdict"])
        text = f"{problem['title']}: {problem['detail']}"
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return CommandError(
            f"the server responded with {response.status} {response.reason}",
            ExitCode.FAILED,
        )
    exit_code = ExitCode.FAILED
    if verdict is Verdict.MAY_HAVE_RUN:
        exit_code = ExitCode.MAY_HAVE_RUN
    retry_after_ms = problem.get("retry_after_ms")
    if retry_after_ms is not None:
        text += f" (retry after {retry_after_ms} ms)"
    return CommandError(f"{text} [{verdict.value}]", exit_code)
