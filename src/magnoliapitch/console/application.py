"""Assembles the command-line application from its commands."""

from __future__ import annotations

from cyclopts import App

from magnoliapitch import __version__
from magnoliapitch.console import bench_decisions as _bench_decisions  # noqa: F401
from magnoliapitch.console import bench_journal as _bench_journal  # noqa: F401
from magnoliapitch.console.bench import bench
from magnoliapitch.console.catalogue import catalogue
from magnoliapitch.console.demo import demo
from magnoliapitch.console.dev import dev
from magnoliapitch.console.drain import drain
from magnoliapitch.console.durations import durations
from magnoliapitch.console.entry import entry
from magnoliapitch.console.job import job
from magnoliapitch.console.logs import logs
from magnoliapitch.console.request import request
from magnoliapitch.console.running import run_application
from magnoliapitch.console.settings import settings
from magnoliapitch.console.state import state


application = App(
    name="magnoliapitch",
    help="Cluster scheduler for mixed workloads.",
    version=__version__,
)
for command in (entry, request, state, drain, dev, demo):
    application.command(command)
for group in (settings, catalogue, job, logs, durations, bench):
    application.command(group)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with the command's exit code.

    :param arguments: command-line arguments without the program name, by
        default those of the process.
    """
    run_application(application, arguments)
