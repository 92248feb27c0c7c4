"""Exceptions of the stand-ins."""

from __future__ import annotations


class InvalidDeploymentError(ValueError):
    """Raised when a deployment file is not valid.

    :param problems: one line for each problem.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
