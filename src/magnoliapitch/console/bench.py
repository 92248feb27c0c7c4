"""The ``bench`` commands; each measures one part on this machine."""

from __future__ import annotations

from cyclopts import App

from magnoliapitch.console.bench_capacity import capacity
from magnoliapitch.console.bench_capacity import idle


bench = App(name="bench", help="Measure parts of the system.")
bench.command(capacity)
bench.command(idle)
