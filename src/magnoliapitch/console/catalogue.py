"""The ``catalogue`` commands."""

from __future__ import annotations

import time

from pathlib import Path
from typing import Any

import orjson

from cyclopts import App

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.exceptions import InvalidEntryError
from magnoliapitch.catalogue.file import read_entries
from magnoliapitch.console.client import DEFAULT_ADMIN_URL
from magnoliapitch.console.client import AdminUrlOption
from magnoliapitch.console.client import HttpCall
from magnoliapitch.console.client import JsonFlag
from magnoliapitch.console.client import decode_json
from magnoliapitch.console.client import send
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.output import print_rows
from magnoliapitch.console.output import print_value


POLL_INTERVAL_S = 0.1
LIST_COLUMNS = ("name", "owner", "work_class", "version", "offset")

catalogue = App(name="catalogue", help="Read and change catalogue entries.")


@catalogue.command(name="list")
def list_entries(
    *, server: AdminUrlOption = DEFAULT_ADMIN_URL, as_json: JsonFlag = False
) -> None:
    """List the catalogue entries that are in force on an instance.

    :param server: URL of the instance's operator interface.
    :param as_json: print JSON instead of text.
    """
    rows = decode_json(send(server, HttpCall("GET", "/v1/catalogue")))[
        "entries"
    ]
    print_rows(rows, LIST_COLUMNS, as_json)


@catalogue.command
def get(
    name: str,
    *,
    server: AdminUrlOption = DEFAULT_ADMIN_URL,
    as_json: JsonFlag = False,
) -> None:
    """Show an entry, its version and the instances that apply it.

    :param name: name of the entry.
    :param server: URL of the instance's operator interface.
    :param as_json: print JSON instead of text.
    """
    response = send(server, HttpCall("GET", f"/v1/catalogue/{name}"))
    applied = _fetch_applied(server, name)
    value = {
        "version": int(response.headers["ETag"].strip('"')),
        "everywhere": applied["everywhere"],
        **decode_json(response),
        "instances": applied["instances"],
    }
    print_value(value, as_json)


@catalogue.command
def check(file: Path) -> None:
    """Check the entries in a file without contacting a server.

    :param file: TOML file with ``[[catalogue]]`` tables.
    """
    entries = _read_entries(file)
    names = ", ".join(entry.name for entry in entries)
    print(f"{file}: {len(entries)} valid entries: {names}")


@catalogue.command
def put(
    file: Path,
    *,
    version: int | None = None,
    dry_run: bool = False,
    wait_s: float = 0,
    server: AdminUrlOption = DEFAULT_ADMIN_URL,
) -> None:
    """Create or replace the entries in a file, in the order of the file.

    The server rejects an entry that another operator changed in the
    meantime.

    :param file: TOML file with ``[[catalogue]]`` tables.
    :param version: expected current version, for a file with one entry;
        by default the version in force when the command starts.
    :param dry_run: have the server check the entries without changing
        anything.
    :param wait_s: wait up to this many seconds until the change is in
        force on every instance.
    :param server: URL of the instance's operator interface.
    """
    entries = _read_entries(file)
    if version is not None and len(entries) != 1:
        raise CommandError(
            f"--version needs a file with exactly one entry; {file} has "
            f"{len(entries)}",
            ExitCode.USAGE,
        )
    versions_by_name = _fetch_versions(server)
    for entry in entries:
        expected_version = versions_by_name.get(entry.name, 0)
        _put_entry(
            server,
            entry,
            expected_version if version is None else version,
            dry_run,
        )
    if wait_s and not dry_run:
        _wait_until_applied(server, entries, wait_s)


@catalogue.command
def delete(
    name: str, *, version: int, server: AdminUrlOption = DEFAULT_ADMIN_URL
) -> None:
    """Delete an entry from the catalogue.

    :param name: name of the entry.
    :param version: expected current version, as ``catalogue get`` shows it.
    :param server: URL of the instance's operator interface.
    """
    headers = {"If-Match": f'"{version}"'}
    path = f"/v1/catalogue/{name}"
    send(server, HttpCall("DELETE", path, headers=headers))
    print(f"{name}: deleted")


def _read_entries(file: Path) -> tuple[CatalogueEntry, ...]:
    try:
        return read_entries(file)
    except InvalidEntryError as error:
        message = "\n".join(error.problems)
        raise CommandError(message, ExitCode.INVALID_FILE) from error


def _fetch_versions(server: str) -> dict[str, int]:
    rows = decode_json(send(server, HttpCall("GET", "/v1/catalogue")))[
        "entries"
    ]
    return {row["name"]: row["version"] for row in rows}


def _put_entry(
    server: str, entry: CatalogueEntry, expected_version: int, dry_run: bool
) -> None:
    query = "?dry_run=true" if dry_run else ""
    value = {**entry._asdict(), "limits": entry.limits._asdict()}
    call = HttpCall(
        "PUT",
        f"/v1/catalogue/{entry.name}{query}",
        orjson.dumps(value),
        {"If-Match": f'"{expected_version}"'},
    )
    response = decode_json(send(server, call))
    if dry_run:
        print(f"{entry.name}: valid, not changed")
    else:
        print(f"{entry.name}: version {response['version']}")


def _fetch_applied(server: str, name: str) -> Any:
    return decode_json(
        send(server, HttpCall("GET", f"/v1/catalogue/{name}/applied"))
    )


def _wait_until_applied(
    server: str, entries: tuple[CatalogueEntry, ...], wait_s: float
) -> None:
    deadline_s = time.monotonic() + wait_s
    for entry in entries:
        applied = _fetch_applied(server, entry.name)
        while not applied["everywhere"]:
            if time.monotonic() > deadline_s:
                raise _not_applied_error(entry.name, applied)
            time.sleep(POLL_INTERVAL_S)
            applied = _fetch_applied(server, entry.name)
        print(f"{entry.name}: in force everywhere")


def _not_applied_error(name: str, applied: Any) -> CommandError:
    pending_instances = [
        f"{row['instance_id']} ({row['zone']}, {row['state']})"
        for row in applied["instances"]
        if not row["applied"]
    ]
    return CommandError(
        f"{name}: accepted, but not yet in force on "
        f"{', '.join(pending_instances)}",
        ExitCode.FAILED,
    )
