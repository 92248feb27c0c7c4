"""Errors of the catalogue."""

from __future__ import annotations


class InvalidEntryError(ValueError):
    """Error for catalogue entries that break the schema.

    :param problems: one line for each invalid field, with its location,
        the value that was found and what is allowed.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems
