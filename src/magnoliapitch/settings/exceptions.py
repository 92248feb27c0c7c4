"""Errors of the settings."""

from __future__ import annotations


class InvalidSettingsError(ValueError):
    """Settings that cannot be read or break the schema.

    :param problems: one line a problem: file, key, found and allowed.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
