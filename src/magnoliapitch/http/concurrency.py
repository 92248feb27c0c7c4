"""Limits the requests that an application handles at the same time."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.http.application import Application
    from magnoliapitch.http.application import StartResponse
    from magnoliapitch.verdict import Failure


RETRY_AFTER_MS = 500


class ConcurrencyLimit:
    """A WSGI application that refuses requests beyond a concurrency limit.

    :param application: application that handles the accepted requests.
    :param max_active_requests: requests handled at the same time.
    """

    def __init__(
        self, application: Application, max_active_requests: int
    ) -> None:
        self._application = application
        self._max_active_requests = max_active_requests
        self._active_requests = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one WSGI request, or refuse it without waiting."""
        with self._lock:
            is_at_limit = self._active_requests >= self._max_active_requests
            if not is_at_limit:
                self._active_requests += 1
        if is_at_limit:
            return self._application.refuse(
                environ, start_response, self._overload_failure()
            )
        try:
            return self._application(environ, start_response)
        finally:
            with self._lock:
                self._active_requests -= 1

    def _overload_failure(self) -> Failure:
        return not_run(
            FailureCode.OVERLOADED,
            f"all {self._max_active_requests} request threads are busy",
            RETRY_AFTER_MS,
        )
