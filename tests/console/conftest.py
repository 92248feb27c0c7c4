from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from magnoliapitch.console.application import main


if TYPE_CHECKING:
    from collections.abc import Callable


class Outcome(NamedTuple):
    exit_code: int
    out: str
    err: str


@pytest.fixture
def run(capfd: pytest.CaptureFixture[str]) -> Callable[..., Outcome]:
    def call(*arguments: object) -> Outcome:
        exit_code = 0
        try:
            main([str(item) for item in arguments])
        except SystemExit as error:
            exit_code = int(error.code or 0)
        captured = capfd.readouterr()
        return Outcome(exit_code, captured.out, captured.err)

    return call
