"""Errors of the stand-ins."""

from __future__ import annotations


class InvalidDeploymentError(ValueError):
    """A deployment file that breaks the schema.

    :param problems: one line a problem.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
