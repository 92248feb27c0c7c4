"""Runs a command and turns its errors into messages and exit codes."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

from cyclopts import CycloptsError

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.supervisor import StartError
from magnoliapitch.unknown_name import UnknownNameError


if TYPE_CHECKING:
    from cyclopts import App


def run_application(
    application: App, arguments: list[str] | None = None
) -> None:
    """Run a command line and exit with the command's exit code.

    :param arguments: command-line arguments without the program name, by
        default those of the process.
    """
    try:
        application(arguments, exit_on_error=False)
    except CycloptsError:
        sys.exit(ExitCode.USAGE)
    except CommandError as error:
        _exit_with_message(str(error), error.exit_code)
    except UnknownNameError as error:
        _exit_with_message(f"settings: {error}", ExitCode.INVALID_FILE)
    except StartError as error:
        _exit_with_message(f"cannot start: {error}", ExitCode.CANNOT_START)


def _exit_with_message(message: str, exit_code: ExitCode) -> None:
    for line in message.splitlines():
        print(f"magnoliapitch: {line}", file=sys.stderr)
    sys.exit(exit_code)
