"""The ``request`` command."""

from __future__ import annotations

import sys

from pathlib import Path

from magnoliapitch.console.client import DEFAULT_CALLER_URL
from magnoliapitch.console.client import CallerUrlOption
from magnoliapitch.console.client import HttpCall
from magnoliapitch.console.client import send
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode


def request(
    entry: str,
    *,
    body: str = "",
    file: Path | None = None,
    request_id: str | None = None,
    idempotency_key: str | None = None,
    server: CallerUrlOption = DEFAULT_CALLER_URL,
) -> None:
    """Send a request and print the body of the response.

    :param entry: name of the catalogue entry that the request belongs to.
    :param body: request body as text.
    :param file: file with the request body; takes precedence over body.
    :param request_id: id of the request, which the response repeats.
    :param idempotency_key: key with which the request runs at most once,
        however often it is sent.
    :param server: URL of the instance's caller interface.
    """
    headers = {}
    if request_id is not None:
        headers["X-Request-Id"] = request_id
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    content = body.encode() if file is None else _read_body(file)
    call = HttpCall("POST", f"/v1/requests/{entry}", content, headers)
    response = send(server, call)
    sys.stdout.buffer.write(response.data)
    sys.stdout.buffer.write(b"\n")
    sys.stdout.buffer.flush()


def _read_body(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise CommandError(
            f"{file}: cannot be read: {error.strerror}", ExitCode.INVALID_FILE
        ) from error
