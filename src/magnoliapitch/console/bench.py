"""The ``bench`` commands; each measures one part of the system locally."""

from __future__ import annotations

from cyclopts import App

from magnoliapitch.console.bench_capacity import capacity
from magnoliapitch.console.bench_capacity import idle
from magnoliapitch.console.bench_request import requests
from magnoliapitch.console.bench_request import waiting


bench = App(
    name="bench", help="Measure the performance of parts of the system."
)
bench.command(capacity)
bench.command(idle)
bench.command(requests)
bench.command(waiting)
