"""HTTP interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.catalogue.entry import parse_entry
from magnoliapitch.catalogue.exceptions import InvalidEntryError
from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.entry.core import EntryCore


COMMIT_TIMEOUT_MS = 5_000


def admin_application(core: EntryCore) -> Application:
    """Return the application that serves operators."""
    application = Application()

    @application.route("GET", "/v1/state")
    def state(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        return json_response(core.dump())

    @application.route("PUT", "/v1/catalogue/{name}")
    def put(request: HttpRequest) -> HttpResponse:
        version = request.headers_by_name.get("if-match", "0").strip('"')
        try:
            entry = parse_entry(request.json())
            expected = int(version)
        except (InvalidEntryError, ValueError) as error:
            return problem_response(not_run(FailureCode.INVALID, str(error)))
        outcome = core.journal.commit(
            CataloguePut(entry, expected), COMMIT_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        if not outcome.ok_value.applied:
            return problem_response(
                not_run(FailureCode.CONFLICT, outcome.ok_value.reason)
            )
        return json_response({"name": entry.name, "version": expected + 1})

    @application.route("GET", "/v1/catalogue")
    def catalogue(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        with core.journal.reading() as folded:
            names = sorted(folded.catalogue_by_name)
        return json_response({"names": names})

    @application.route("GET", "/v1/ready")
    def ready(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        is_ready = core.is_ready()
        return json_response({"ready": is_ready}, 200 if is_ready else 503)

    return application
