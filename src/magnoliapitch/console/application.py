"""The command-line application."""

from __future__ import annotations

from cyclopts import App

from magnoliapitch import __version__
from magnoliapitch.console.bench import bench
from magnoliapitch.console.demo import demo
from magnoliapitch.console.entry import entry


application = App(
    name="magnoliapitch",
    help="Cluster scheduler for unlike workloads.",
    version=__version__,
)
application.command(entry)
application.command(demo)
application.command(bench)


def main() -> None:
    """Run the command line."""
    application()
