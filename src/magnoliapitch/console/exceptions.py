"""Errors that end a command with a message and an exit code."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.console.exit_code import ExitCode


class CommandError(Exception):
    """Raised if a command fails; its message is printed to the user.

    :param message: what went wrong, with one line for each problem.
    :param exit_code: exit code of the process.
    """

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code
