"""Exceptions raised for settings."""

from __future__ import annotations


class InvalidSettingsError(ValueError):
    """Raised when settings cannot be read or are invalid.

    :param problems: one line per problem: file, key, what was found and what
        is allowed.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
