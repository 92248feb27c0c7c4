"""Runs both users' workloads on a cell in this process."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

import orjson
import urllib3

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.resource import Resources
from magnoliapitch.standin.cell import Cell
from magnoliapitch.standin.cell import CellShape


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.entry.node import EntryNode


QUETZALTENANGO = CellShape(
    ("xela-norte", "xela-centro", "totonicapan"),
    "clubes-app",
    Resources(32_000, 131_072, 1),
)
REQUESTS = 300
POLL_S = 0.02
TIMEOUT_S = 30


def run_demo() -> bool:
    """Serve requests and jobs; return whether everything succeeded."""
    cell = Cell(QUETZALTENANGO)
    for zone in QUETZALTENANGO.zones:
        cell.add_entry(zone).start()
    for entry in (
        CatalogueEntry(
            "seat-check", "clubs", WorkClass.URGENT, app="clubes-app"
        ),
        CatalogueEntry("term-roster", "clubs", WorkClass.BATCH),
    ):
        cell.log.append(encode_record((CataloguePut(entry, 0),)))
    _wait(lambda: all(map(_is_serving, cell.entries)))
    answered = sum(_request(cell, number) for number in range(REQUESTS))
    done = _run_job(cell)
    for node in cell.entries:
        node.stop()
    print(f"requests answered={answered} of={REQUESTS} job_done={done}")
    return answered == REQUESTS and done


def _is_serving(node: EntryNode) -> bool:
    with node.core.journal.reading() as state:
        claims = len(state.claims_by_unit)
        return claims == 6 and len(state.catalogue_by_name) == 2


def _request(cell: Cell, number: int) -> bool:
    node = cell.entries[number % len(cell.entries)]
    url = f"http://127.0.0.1:{node.settings.listeners.caller_port}"
    response = urllib3.request(
        "POST",
        f"{url}/v1/requests/seat-check",
        body=f"seat {number}".encode(),
        headers={"X-Request-Id": f"r{number}"},
    )
    return (
        response.status == 200
        and response.json()["echo"] == f"seat {number}"
        and response.headers["X-Request-Id"] == f"r{number}"
    )


def _run_job(cell: Cell) -> bool:
    url = f"http://127.0.0.1:{cell.entries[0].settings.listeners.caller_port}"
    job = {
        "job_id": "roster-1",
        "entry": "term-roster",
        "tasks": 40,
        "resources": {"cpu_millis": 4_000, "memory_mb": 4_096},
        "run_ms": 200,
    }
    submitted = urllib3.request(
        "POST", f"{url}/v1/jobs", body=orjson.dumps(job)
    )
    if submitted.status != 202:
        print(submitted.data)
        return False

    def is_done() -> bool:
        status = urllib3.request("GET", f"{url}/v1/jobs/roster-1")
        return bool(status.json()["done"])

    return _wait(is_done)


def _wait(condition: Callable[[], bool]) -> bool:
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(POLL_S)
    return False
