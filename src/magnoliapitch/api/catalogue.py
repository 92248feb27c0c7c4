"""Routes for operators to read and change the catalogue.

The version of an entry is its entity tag. A change of an existing entry
must name the version that it replaces in ``If-Match``. If the entry has
another version by then, nothing changes and the response is 409.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import parse_entry
from magnoliapitch.catalogue.exceptions import InvalidEntryError
from magnoliapitch.event import log_event
from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import json_response
from magnoliapitch.http import problem_response
from magnoliapitch.journal.record import CatalogueDelete
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.entry.core import EntryCore
    from magnoliapitch.journal.state import VersionedEntry


COMMIT_TIMEOUT_MS = 5_000
NO_VERSION = 0


def add_catalogue_routes(application: Application, core: EntryCore) -> None:
    """Add the routes below ``/v1/catalogue``."""
    _add_read_routes(application, core)
    _add_change_routes(application, core)


def _add_read_routes(application: Application, core: EntryCore) -> None:
    @application.route("GET", "/v1/catalogue")
    def show_all(request: HttpRequest) -> HttpResponse:  # noqa: ARG001
        with core.journal.locked_state() as state:
            entries = sorted(state.catalogue_by_name.items())
        rows = [_entry_summary(name, versioned) for name, versioned in entries]
        return json_response({"entries": rows})

    @application.route("GET", "/v1/catalogue/{name}")
    def show(request: HttpRequest) -> HttpResponse:
        name = request.path_values["name"]
        versioned = _find_entry(core, name)
        if versioned is None:
            return problem_response(_unknown_entry(name))
        return json_response(
            _entry_fields(versioned.entry),
            headers=(("ETag", f'"{versioned.version}"'),),
        )

    @application.route("GET", "/v1/catalogue/{name}/applied")
    def applied(request: HttpRequest) -> HttpResponse:
        name = request.path_values["name"]
        versioned = _find_entry(core, name)
        if versioned is None:
            return problem_response(_unknown_entry(name))
        instances = _applied_by_instance(core, versioned.offset)
        return json_response(
            {
                "name": name,
                "version": versioned.version,
                "offset": versioned.offset,
                "everywhere": all(item["applied"] for item in instances),
                "instances": instances,
            }
        )


def _add_change_routes(application: Application, core: EntryCore) -> None:
    @application.route("PUT", "/v1/catalogue/{name}")
    def put(request: HttpRequest) -> HttpResponse:
        name = request.path_values["name"]
        try:
            entry = parse_entry(request.json())
        except (InvalidEntryError, ValueError) as error:
            return _logged_refusal(
                name, not_run(FailureCode.INVALID, str(error))
            )
        expected = _expected_version(core, request)
        if isinstance(expected, Err):
            return _logged_refusal(name, expected.err_value)
        if entry.name != name:
            detail = f"name: found {entry.name!r}; the path says {name!r}"
            return _logged_refusal(name, not_run(FailureCode.INVALID, detail))
        version = expected.ok_value
        if request.query_by_name.get("dry_run") == "true":
            return json_response({"name": name, "valid": True})
        return _commit(core, name, CataloguePut(entry, version))

    @application.route("DELETE", "/v1/catalogue/{name}")
    def delete(request: HttpRequest) -> HttpResponse:
        name = request.path_values["name"]
        if _find_entry(core, name) is None:
            return problem_response(_unknown_entry(name))
        expected = _expected_version(core, request)
        if isinstance(expected, Err):
            return _logged_refusal(name, expected.err_value)
        return _commit(core, name, CatalogueDelete(name, expected.ok_value))


def _commit(
    core: EntryCore, name: str, change: CataloguePut | CatalogueDelete
) -> HttpResponse:
    outcome = core.journal.commit(change, COMMIT_TIMEOUT_MS)
    if isinstance(outcome, Err):
        return problem_response(outcome.err_value)
    if not outcome.ok_value.applied:
        reason = outcome.ok_value.reason
        return _logged_refusal(name, not_run(FailureCode.CONFLICT, reason))
    deleted = isinstance(change, CatalogueDelete)
    log_event("catalogue-changed", entry=name, deleted=deleted)
    versioned = _find_entry(core, name)
    if deleted or versioned is None:
        return json_response({"name": name, "deleted": deleted})
    return json_response(
        {
            "name": name,
            "version": versioned.version,
            "offset": versioned.offset,
        },
        headers=(("ETag", f'"{versioned.version}"'),),
    )


def _logged_refusal(name: str, failure: Failure) -> HttpResponse:
    log_event("catalogue-refused", entry=name, reason=failure.detail)
    return problem_response(failure)


def _expected_version(
    core: EntryCore, request: HttpRequest
) -> Result[int, Failure]:
    current = _find_entry(core, request.path_values["name"])
    if_match = request.headers_by_name.get("if-match")
    if if_match is None:
        if current is None:
            return Ok(NO_VERSION)
        detail = (
            f"the entry exists; name the version to replace in If-Match, "
            f'for example If-Match: "{current.version}"'
        )
        return Err(not_run(FailureCode.PRECONDITION_REQUIRED, detail))
    version_text = if_match.strip().strip('"')
    if not version_text.isascii() or not version_text.isdigit():
        detail = f'If-Match: found {if_match!r}; must be a version such as "3"'
        return Err(not_run(FailureCode.INVALID, detail))
    version = int(version_text)
    current_version = current.version if current else NO_VERSION
    if version != current_version:
        detail = (
            f"If-Match: found version {version}; current is {current_version}"
        )
        return Err(not_run(FailureCode.CONFLICT, detail))
    return Ok(version)


def _find_entry(core: EntryCore, name: str) -> VersionedEntry | None:
    with core.journal.locked_state() as state:
        return state.catalogue_by_name.get(name)


def _unknown_entry(name: str) -> Failure:
    return not_run(FailureCode.NOT_FOUND, f"no catalogue entry {name!r}")


def _entry_summary(name: str, versioned: VersionedEntry) -> dict[str, object]:
    return {
        "name": name,
        "owner": versioned.entry.owner,
        "work_class": versioned.entry.work_class.value,
        "version": versioned.version,
        "offset": versioned.offset,
    }


def _entry_fields(entry: CatalogueEntry) -> dict[str, object]:
    return {**entry._asdict(), "limits": entry.limits._asdict()}


def _applied_by_instance(
    core: EntryCore, offset: int
) -> list[dict[str, object]]:
    own = core.membership.own_heartbeat()
    rows = [(own.instance_id, own.zone, "self", own.next_offset)]
    rows += [
        (
            peer.join.instance_id,
            peer.join.zone,
            peer.state.value,
            peer.next_offset,
        )
        for peer in core.membership.peers()
    ]
    return [
        {
            "instance_id": instance_id,
            "zone": zone,
            "state": state,
            "next_offset": next_offset,
            "applied": next_offset > offset,
        }
        for instance_id, zone, state, next_offset in rows
    ]
