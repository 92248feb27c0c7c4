"""Calls of commands to the HTTP interfaces of an instance."""

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


TIMEOUT_S = 60
REDIRECTS_MAX = 3
URL_SCHEMES = ("http://", "https://")
ERROR_STATUS = 300

CALLER_URL = "http://127.0.0.1:8080"
ADMIN_URL = "http://127.0.0.1:8081"

CallerServer = Annotated[
    str, Parameter(name="--server", env_var="MAGNOLIAPITCH_URL")
]
AdminServer = Annotated[
    str, Parameter(name="--server", env_var="MAGNOLIAPITCH_ADMIN_URL")
]
AsJson = Annotated[bool, Parameter(name="--json", negative="")]


class Call(NamedTuple):
    """One HTTP call.

    :param path: path with query, from the root of the server.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] | None = None


def send(server: str, call: Call) -> urllib3.BaseHTTPResponse:
    """Send a call once and return the answer if it is a result.

    :raises CommandError: if there is no answer, or it is a failure.
    """
    answer = _exchange(server, call)
    if answer.status >= ERROR_STATUS:
        raise _failure(answer)
    return answer


def decode(answer: urllib3.BaseHTTPResponse) -> Any:
    """Return the JSON value of an answer.

    :raises CommandError: if the answer is not JSON.
    """
    try:
        return orjson.loads(answer.data)
    except orjson.JSONDecodeError as error:
        raise CommandError(
            f"the server's answer is not JSON: {error}; is this the address "
            f"of a magnoliapitch instance?",
            ExitCode.FAILED,
        ) from error


def _exchange(server: str, call: Call) -> urllib3.BaseHTTPResponse:
    if not server.startswith(URL_SCHEMES):
        raise _not_a_url(server)
    retries = urllib3.Retry(
        total=None,
        connect=0,
        read=0,
        status=0,
        other=0,
        redirect=REDIRECTS_MAX,
        raise_on_redirect=False,
    )
    try:
        return urllib3.request(
            call.method,
            server.rstrip("/") + call.path,
            body=call.body,
            headers=dict(call.headers or {}),
            timeout=TIMEOUT_S,
            retries=retries,
        )
    except urllib3.exceptions.LocationValueError as error:
        raise _not_a_url(server) from error
    except urllib3.exceptions.HTTPError as error:
        raise _unreachable(server, error) from error


def _not_a_url(server: str) -> CommandError:
    message = f"{server!r} is not a URL such as {ADMIN_URL}"
    return CommandError(message, ExitCode.USAGE)


def _unreachable(
    server: str, error: urllib3.exceptions.HTTPError
) -> CommandError:
    cause: Exception = error
    if isinstance(error, urllib3.exceptions.MaxRetryError) and error.reason:
        cause = error.reason
    never_sent = isinstance(
        cause,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ),
    )
    reason = str(cause).rpartition(": ")[2] or repr(cause)
    if never_sent:
        return CommandError(
            f"cannot reach {server}: {reason}", ExitCode.UNREACHABLE
        )
    return CommandError(
        f"no complete answer from {server}: {reason}; "
        f"the request may have run",
        ExitCode.MAY_HAVE_RUN,
    )


def _failure(answer: urllib3.BaseHTTPResponse) -> CommandError:
    try:
        problem = orjson.loads(answer.data)
        verdict = Verdict(problem["verdict"])
        text = f"{problem['title']}: {problem['detail']}"
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return CommandError(
            f"the server answered {answer.status} {answer.reason}",
            ExitCode.FAILED,
        )
    exit_code = ExitCode.FAILED
    if verdict is Verdict.MAY_HAVE_RUN:
        exit_code = ExitCode.MAY_HAVE_RUN
    retry_after_ms = problem.get("retry_after_ms")
    if retry_after_ms is not None:
        text += f" (retry after {retry_after_ms} ms)"
    return CommandError(f"{text} [{verdict.value}]", exit_code)
