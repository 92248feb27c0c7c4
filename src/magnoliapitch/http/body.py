"""Reads the body of a WSGI request and rejects malformed bodies."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from cheroot.errors import MaxSizeExceeded

from magnoliapitch.http.problem import problem_response
from magnoliapitch.http.reader import TooManyWaitsError
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.http.message import HttpResponse


# The library copies what it has read of a piece for each chunk, so that the
# time for a whole body would grow with the square of its length.
PIECE_BYTES = 1 << 14
RETRY_AFTER_MS = 1_000
CONNECTION_CLOSE = ("Connection", "close")


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes | HttpResponse:
    """Return the complete body, or an error response.

    An error response closes the connection, since it is unknown where the
    next request would begin.

    :param max_bytes: longest accepted body.
    """
    is_chunked = bool(environ.get("wsgi.input_terminated"))
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not is_chunked and not length:
        return b""
    if length > max_bytes:
        return _error_response(environ, *_too_large_error(max_bytes))
    try:
        body = (
            _read_chunked(environ["wsgi.input"], max_bytes)
            if is_chunked
            else environ["wsgi.input"].read(length)
        )
    except TimeoutError:
        return _error_response(
            environ,
            HTTPStatus.REQUEST_TIMEOUT,
            FailureCode.TIMEOUT,
            "the request body did not arrive before the read timeout",
        )
    except TooManyWaitsError as error:
        return _error_response(
            environ,
            HTTPStatus.SERVICE_UNAVAILABLE,
            FailureCode.OVERLOADED,
            str(error),
            RETRY_AFTER_MS,
        )
    except MaxSizeExceeded:
        return _error_response(environ, *_too_large_error(max_bytes))
    except (OSError, ValueError) as error:
        if "Too Large" in str(error):
            return _error_response(environ, *_too_large_error(max_bytes))
        return _error_response(
            environ,
            HTTPStatus.BAD_REQUEST,
            FailureCode.INVALID,
            f"the request body cannot be read: {error}",
        )
    if is_chunked and len(body) > max_bytes:
        return _error_response(environ, *_too_large_error(max_bytes))
    if not is_chunked and len(body) < length:
        return _error_response(
            environ,
            HTTPStatus.BAD_REQUEST,
            FailureCode.INVALID,
            f"only {len(body)} of {length} bytes of the request body arrived",
        )
    return body


def _read_chunked(stream: Any, max_bytes: int) -> bytes:
    """Read up to the end of the body, or until it is too long."""
    pieces: list[bytes] = []
    length = 0
    while length <= max_bytes:
        piece: bytes = stream.read(PIECE_BYTES)
        if not piece:
            break
        pieces.append(piece)
        length += len(piece)
    return b"".join(pieces)


def _too_large_error(max_bytes: int) -> tuple[HTTPStatus, FailureCode, str]:
    return (
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        FailureCode.TOO_LARGE,
        f"the request body exceeds the limit of {max_bytes} bytes",
    )


def _error_response(
    environ: dict[str, Any],
    status: HTTPStatus,
    code: FailureCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> HttpResponse:
    response = problem_response(
        not_run(code, detail, retry_after_ms),
        environ.get("HTTP_X_REQUEST_ID", ""),
        status,
    )
    return response._replace(headers=(*response.headers, CONNECTION_CLOSE))
