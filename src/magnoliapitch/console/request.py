"""The ``request`` command."""

from __future__ import annotations

import sys

from pathlib import Path

from magnoliapitch.console.client import CALLER_URL
from magnoliapitch.console.client import Call
from magnoliapitch.console.client import CallerServer
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
    server: CallerServer = CALLER_URL,
) -> None:
    """Send a small request and print its answer.

    :param entry: catalogue entry of the work.
    :param body: body as text.
    :param file: file that holds the body.
    :param request_id: id that the answer repeats.
    :param idempotency_key: key under which the work runs at most once.
    :param server: URL of the callers' interface.
    """
    headers = {}
    if request_id is not None:
        headers["X-Request-Id"] = request_id
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    content = body.encode() if file is None else _content(file)
    call = Call("POST", f"/v1/requests/{entry}", content, headers)
    answer = send(server, call)
    sys.stdout.buffer.write(answer.data)
    sys.stdout.buffer.write(b"\n")
    sys.stdout.buffer.flush()


def _content(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise CommandError(
            f"{file}: cannot be read: {error.strerror}", ExitCode.INVALID_FILE
        ) from error
