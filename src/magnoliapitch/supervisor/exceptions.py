"""Errors of supervised children."""

from __future__ import annotations


class StartError(RuntimeError):
    """A child that cannot be started.

    :param child: name of the child.
    :param reason: what prevents it, for an operator.
    """

    def __init__(self, child: str, reason: str) -> None:
        super().__init__(f"{child}: {reason}")
        self.child = child
        self.reason = reason
