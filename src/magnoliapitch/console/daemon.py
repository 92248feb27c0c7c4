"""The program of one instance.

It has the ``entry`` command alone, so that an instance does not keep the
libraries of the other commands in memory.
"""

from __future__ import annotations

from cyclopts import App

from magnoliapitch.console.entry import entry
from magnoliapitch.console.running import run_application


def main(arguments: list[str] | None = None) -> None:
    """Run an instance until it is told to stop.

    :param arguments: words after the program's name, by default those of
        the process.
    """
    application = App(name="magnoliapitch")
    application.command(entry)
    run_application(application, arguments)
