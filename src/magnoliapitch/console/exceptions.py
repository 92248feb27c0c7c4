"""Errors that end a command with a message and an exit code."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.console.exit_code import ExitCode


class CommandError(Exception):
    """A command that cannot do what was asked.

    :param message: what went wrong, for a person; one line a problem.
    :param exit_code: exit code of the process.
    """

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code
