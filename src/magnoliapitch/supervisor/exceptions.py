"""Errors of supervised children."""

from __future__ import annotations


class StartError(RuntimeError):
    """Raised if a child cannot be started.

    :param child: name of the child.
    :param reason: why it cannot be started, for an operator.
    """

    def __init__(self, child: str, reason: str) -> None:
        super().__init__(f"{child}: {reason}")
        self.child = child
        self.reason = reason
