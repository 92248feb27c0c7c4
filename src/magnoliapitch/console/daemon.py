"""Program that runs one instance.

It offers only the ``entry`` command, so that an instance does not load the
libraries of the other commands into memory.
"""

from __future__ import annotations

from cyclopts import App

from magnoliapitch.console.entry import entry
from magnoliapitch.console.running import run_application


def main(arguments: list[str] | None = None) -> None:
    """Run an instance until SIGTERM or SIGINT, then exit.

    :param arguments: command-line arguments without the program name, by
        default those of the process.
    """
    application = App(name="magnoliapitch")
    application.command(entry)
    run_application(application, arguments)
