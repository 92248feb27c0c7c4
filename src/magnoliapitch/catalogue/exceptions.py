"""Errors of the catalogue."""

from __future__ import annotations


class InvalidEntryError(ValueError):
    """A catalogue entry that breaks the schema.

    :param problems: one line for each field: where, found, allowed.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems
