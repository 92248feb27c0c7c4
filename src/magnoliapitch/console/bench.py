"""The ``bench`` commands; each measures one part on this machine."""

from __future__ import annotations

from cyclopts import App


bench = App(name="bench", help="Measure parts of the system.")
