"""Refuses requests while all threads but a reserve are busy."""

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


RETRY_MS = 500


class ConcurrencyLimit:
    """A WSGI application that handles a bounded number of requests."""

    def __init__(self, application: Application, busy_max: int) -> None:
        self._application = application
        self._busy_max = busy_max
        self._busy = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request, or refuse it at once."""
        with self._lock:
            is_full = self._busy >= self._busy_max
            if not is_full:
                self._busy += 1
        if is_full:
            return self._application.refuse(
                environ, start_response, self._failure()
            )
        try:
            return self._application(environ, start_response)
        finally:
            with self._lock:
                self._busy -= 1

    def _failure(self) -> Failure:
        return not_run(
            FailureCode.OVERLOADED,
            f"all {self._busy_max} threads are busy",
            RETRY_MS,
        )
