"""Route that explains why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.entry.core import EntryCore


HTTP_TEMPORARY_REDIRECT = 307
NO_OWNER_RETRY_MS = 1_000


class _Owner(NamedTuple):
    """Owner of the rack that a job is assigned to.

    :param url: base URL of the owner's interface for callers; empty if
        this instance is the owner or the job is done.
    :param is_done: whether the job is done.
    """

    url: str
    is_done: bool


def add_explanation_route(application: Application, core: EntryCore) -> None:
    """Add the route for explanations of jobs.

    If another instance owns the job's rack, the route redirects to it.
    """

    @application.route("GET", "/v1/jobs/{job}/explanation")
    def explain(request: HttpRequest) -> HttpResponse:
        job_id = request.path_values["job"]
        found = _owner_of(core, job_id)
        if isinstance(found, Err):
            return problem_response(found.err_value, request.request_id)
        owner = found.ok_value
        if owner.is_done:
            return json_response({"job_id": job_id, "waits": False})
        if owner.url:
            url = owner.url + request.path
            return json_response(
                {"job_id": job_id, "owner_url": url},
                HTTP_TEMPORARY_REDIRECT,
                (("Location", url),),
            )
        explanation = core.job_manager.explain(job_id)
        if explanation is None:
            return json_response({"job_id": job_id, "waits": False})
        return json_response({"waits": True, **explanation._asdict()})


def _owner_of(core: EntryCore, job_id: str) -> Result[_Owner, Failure]:
    with core.journal.locked_state() as state:
        job = state.jobs_by_id.get(job_id)
        if job is None:
            return Err(not_run(FailureCode.NOT_FOUND, f"no job {job_id}"))
        if job.is_done:
            return Ok(_Owner("", is_done=True))
        claim = state.claims_by_unit.get(job.unit)
        incarnation = claim.incarnation if claim else ""
        member = state.members_by_incarnation.get(incarnation)
        if incarnation == core.identity.incarnation:
            return Ok(_Owner("", is_done=False))
        if member is not None and member.join.caller_url:
            return Ok(_Owner(member.join.caller_url, is_done=False))
    detail = f"rack {job.unit} of job {job_id} has no known owner now"
    return Err(not_run(FailureCode.UNAVAILABLE, detail, NO_OWNER_RETRY_MS))
