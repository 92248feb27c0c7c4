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
from magnoliapitch.console.client import ADMIN_URL
from magnoliapitch.console.client import AdminServer
from magnoliapitch.console.client import AsJson
from magnoliapitch.console.client import Call
from magnoliapitch.console.client import decode
from magnoliapitch.console.client import send
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.output import print_table
from magnoliapitch.console.output import print_value


POLL_S = 0.1
COLUMNS = ("name", "owner", "work_class", "version", "offset")

catalogue = App(name="catalogue", help="Read and change the catalogue.")


@catalogue.command(name="list")
def list_entries(
    *, server: AdminServer = ADMIN_URL, as_json: AsJson = False
) -> None:
    """List the entries in force on an instance.

    :param server: URL of the operators' interface.
    :param as_json: print JSON.
    """
    rows = decode(send(server, Call("GET", "/v1/catalogue")))["entries"]
    if as_json:
        print_value(rows, as_json)
    else:
        print_table(rows, COLUMNS)


@catalogue.command
def get(
    name: str, *, server: AdminServer = ADMIN_URL, as_json: AsJson = False
) -> None:
    """Show an entry, its version and where it is in force.

    :param name: name of the entry.
    :param server: URL of the operators' interface.
    :param as_json: print JSON.
    """
    answer = send(server, Call("GET", f"/v1/catalogue/{name}"))
    applied = _applied(server, name)
    value = {
        "version": int(answer.headers["ETag"].strip('"')),
        "everywhere": applied["everywhere"],
        **decode(answer),
        "instances": applied["instances"],
    }
    print_value(value, as_json)


@catalogue.command
def check(file: Path) -> None:
    """Check the entries of a file without sending them.

    :param file: TOML file with ``[[catalogue]]`` tables.
    """
    entries = _read(file)
    names = ", ".join(entry.name for entry in entries)
    print(f"{file}: {len(entries)} valid entries: {names}")


@catalogue.command
def put(
    file: Path,
    *,
    version: int | None = None,
    dry_run: bool = False,
    wait_s: float = 0,
    server: AdminServer = ADMIN_URL,
) -> None:
    """Create or replace the entries of a file, in its order.

    An entry that another operator changed in the meantime is refused.

    :param file: TOML file with ``[[catalogue]]`` tables.
    :param version: version that the file's only entry replaces; by
        default the one in force when the command starts.
    :param dry_run: let the server check the entries and change nothing.
    :param wait_s: wait up to this many seconds until the change is in
        force on every instance.
    :param server: URL of the operators' interface.
    """
    entries = _read(file)
    if version is not None and len(entries) != 1:
        raise CommandError(
            f"--version goes with a file of one entry; {file} has "
            f"{len(entries)}",
            ExitCode.USAGE,
        )
    versions_by_name = _versions(server)
    for entry in entries:
        expected = versions_by_name.get(entry.name, 0)
        _put(server, entry, expected if version is None else version, dry_run)
    if wait_s and not dry_run:
        _wait_applied(server, entries, wait_s)


@catalogue.command
def delete(
    name: str, *, version: int, server: AdminServer = ADMIN_URL
) -> None:
    """Delete an entry.

    :param name: name of the entry.
    :param version: version to delete; see ``catalogue get``.
    :param server: URL of the operators' interface.
    """
    headers = {"If-Match": f'"{version}"'}
    path = f"/v1/catalogue/{name}"
    send(server, Call("DELETE", path, headers=headers))
    print(f"{name}: deleted")


def _read(file: Path) -> tuple[CatalogueEntry, ...]:
    try:
        return read_entries(file)
    except InvalidEntryError as error:
        message = "\n".join(error.problems)
        raise CommandError(message, ExitCode.INVALID_FILE) from error


def _versions(server: str) -> dict[str, int]:
    rows = decode(send(server, Call("GET", "/v1/catalogue")))["entries"]
    return {row["name"]: row["version"] for row in rows}


def _put(
    server: str, entry: CatalogueEntry, expected: int, dry_run: bool
) -> None:
    query = "?dry_run=true" if dry_run else ""
    value = {**entry._asdict(), "limits": entry.limits._asdict()}
    call = Call(
        "PUT",
        f"/v1/catalogue/{entry.name}{query}",
        orjson.dumps(value),
        {"If-Match": f'"{expected}"'},
    )
    answer = decode(send(server, call))
    if dry_run:
        print(f"{entry.name}: valid, not changed")
    else:
        print(f"{entry.name}: version {answer['version']}")


def _applied(server: str, name: str) -> Any:
    return decode(send(server, Call("GET", f"/v1/catalogue/{name}/applied")))


def _wait_applied(
    server: str, entries: tuple[CatalogueEntry, ...], wait_s: float
) -> None:
    deadline_s = time.monotonic() + wait_s
    for entry in entries:
        applied = _applied(server, entry.name)
        while not applied["everywhere"]:
            if time.monotonic() > deadline_s:
                raise _not_everywhere(entry.name, applied)
            time.sleep(POLL_S)
            applied = _applied(server, entry.name)
        print(f"{entry.name}: in force everywhere")


def _not_everywhere(name: str, applied: Any) -> CommandError:
    missing = [
        f"{row['instance_id']} ({row['zone']}, {row['state']})"
        for row in applied["instances"]
        if not row["applied"]
    ]
    return CommandError(
        f"{name}: accepted, but not yet in force on {', '.join(missing)}",
        ExitCode.FAILED,
    )
