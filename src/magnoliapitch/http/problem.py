"""Converts failures to RFC 9457 problem details responses."""

from __future__ import annotations

import orjson

from magnoliapitch.http.message import HttpResponse
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode


CONTENT_TYPE = "application/problem+json"

STATUS_BY_CODE = {
    FailureCode.INVALID: 400,
    FailureCode.NOT_FOUND: 404,
    FailureCode.UNAUTHENTICATED: 401,
    FailureCode.FORBIDDEN: 403,
    FailureCode.CONFLICT: 409,
    FailureCode.PRECONDITION_REQUIRED: 428,
    FailureCode.OVERLOADED: 503,
    FailureCode.QUOTA: 429,
    FailureCode.IMPOSSIBLE: 422,
    FailureCode.SHUTTING_DOWN: 503,
    FailureCode.UNAVAILABLE: 503,
    FailureCode.TIMEOUT: 504,
    FailureCode.BAD_RESPONSE: 502,
    FailureCode.DUPLICATE: 409,
    FailureCode.EXPIRED: 410,
    FailureCode.STALE: 409,
    FailureCode.TRUNCATED: 410,
    FailureCode.CANCELLED: 409,
    FailureCode.TOO_LARGE: 413,
    FailureCode.INTERNAL: 500,
    FailureCode.FENCED: 409,
    FailureCode.SEQUENCE: 409,
    FailureCode.NO_ROOM: 503,
    FailureCode.TICKET: 409,
    FailureCode.REPLACED: 410,
    FailureCode.RESTARTED: 410,
    FailureCode.UNHEALTHY: 503,
}


def problem_response(
    failure: Failure, request_id: str = "", status: int | None = None
) -> HttpResponse:
    """Return a response that describes a failure as problem details.

    :param request_id: request ID to include, if any.
    :param status: HTTP status, by default that of the failure's code.
    """
    status = status or STATUS_BY_CODE[failure.code]
    problem: dict[str, object] = {
        "type": f"urn:magnoliapitch:problem:{failure.code.value}",
        "title": failure.code.value,
        "status": status,
        "detail": failure.detail,
        "verdict": failure.verdict.value,
    }
    if request_id:
        problem["request_id"] = request_id
    headers: tuple[tuple[str, str], ...] = ()
    if failure.retry_after_ms is not None:
        retry_after_s = -(-failure.retry_after_ms // 1000)
        problem["retry_after_ms"] = failure.retry_after_ms
        headers = (("Retry-After", str(retry_after_s)),)
    if failure.code is FailureCode.UNAUTHENTICATED:
        headers = (*headers, ("WWW-Authenticate", "Bearer"))
    return HttpResponse(
        status, orjson.dumps(problem), CONTENT_TYPE, headers=headers
    )
