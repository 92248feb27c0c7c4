"""Reads the body of a WSGI request, and refuses broken ones."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from cheroot.errors import MaxSizeExceeded

from magnoliapitch.http.problem import problem_response
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.http.message import HttpResponse


CLOSE = ("Connection", "close")


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes | HttpResponse:
    """Return the complete body, or the refusal of a broken request.

    After a refusal the connection is closed, since it is not known where
    the next request would begin.
    """
    is_chunked = bool(environ.get("wsgi.input_terminated"))
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not is_chunked and not length:
        return b""
    if length > max_bytes:
        return _refuse(environ, *_too_large(max_bytes))
    try:
        body: bytes = environ["wsgi.input"].read(
            max_bytes + 1 if is_chunked else length
        )
    except TimeoutError:
        return _refuse(
            environ,
            HTTPStatus.REQUEST_TIMEOUT,
            FailureCode.TIMEOUT,
            "the body did not arrive in time",
        )
    except MaxSizeExceeded:
        return _refuse(environ, *_too_large(max_bytes))
    except (OSError, ValueError) as error:
        if "Too Large" in str(error):
            return _refuse(environ, *_too_large(max_bytes))
        return _refuse(
            environ,
            HTTPStatus.BAD_REQUEST,
            FailureCode.INVALID,
            f"broken body: {error}",
        )
    if is_chunked and len(body) > max_bytes:
        return _refuse(environ, *_too_large(max_bytes))
    if not is_chunked and len(body) < length:
        return _refuse(
            environ,
            HTTPStatus.BAD_REQUEST,
            FailureCode.INVALID,
            f"{len(body)} of {length} bytes of the body arrived",
        )
    return body


def _too_large(max_bytes: int) -> tuple[HTTPStatus, FailureCode, str]:
    return (
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        FailureCode.TOO_LARGE,
        f"at most {max_bytes} bytes of body are allowed",
    )


def _refuse(
    environ: dict[str, Any], status: HTTPStatus, code: FailureCode, text: str
) -> HttpResponse:
    response = problem_response(
        not_run(code, text), environ.get("HTTP_X_REQUEST_ID", ""), status
    )
    return response._replace(headers=(*response.headers, CLOSE))
