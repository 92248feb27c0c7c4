"""The command-line application."""

from __future__ import annotations

import sys

from cyclopts import App
from cyclopts import CycloptsError

from magnoliapitch import __version__
from magnoliapitch.adapter.exceptions import UnknownAdapterError
from magnoliapitch.console import bench_decisions as _bench_decisions  # noqa: F401
from magnoliapitch.console import bench_journal as _bench_journal  # noqa: F401
from magnoliapitch.console.bench import bench
from magnoliapitch.console.catalogue import catalogue
from magnoliapitch.console.demo import demo
from magnoliapitch.console.dev import dev
from magnoliapitch.console.drain import drain
from magnoliapitch.console.entry import entry
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.job import job
from magnoliapitch.console.logs import logs
from magnoliapitch.console.request import request
from magnoliapitch.console.settings import settings
from magnoliapitch.console.state import state
from magnoliapitch.decision.exceptions import UnknownPolicyError
from magnoliapitch.supervisor import StartError


application = App(
    name="magnoliapitch",
    help="Cluster scheduler for unlike workloads.",
    version=__version__,
)
for command in (entry, request, state, drain, dev, demo):
    application.command(command)
for group in (settings, catalogue, job, logs, bench):
    application.command(group)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with the command's exit code.

    :param arguments: words after the program's name, by default those of
        the process.
    """
    try:
        application(arguments, exit_on_error=False)
    except CycloptsError:
        sys.exit(ExitCode.USAGE)
    except CommandError as error:
        _fail(str(error), error.exit_code)
    except (UnknownAdapterError, UnknownPolicyError) as error:
        _fail(f"settings: {error}", ExitCode.INVALID_FILE)
    except StartError as error:
        _fail(f"cannot start: {error}", ExitCode.CANNOT_START)


def _fail(message: str, exit_code: ExitCode) -> None:
    for line in message.splitlines():
        print(f"magnoliapitch: {line}", file=sys.stderr)
    sys.exit(exit_code)
