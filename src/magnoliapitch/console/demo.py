"""The ``demo`` command."""

from __future__ import annotations

import sys

from pathlib import Path

from magnoliapitch.console.dev import read_deployment
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.event import EventLevel
from magnoliapitch.event import configure_logging
from magnoliapitch.standin.demo import Demo
from magnoliapitch.standin.report import print_result


DEPLOYMENTS = (Path("examples/clubs.toml"), Path("examples/rounds.toml"))


def demo(*deployments: Path) -> None:
    """Run the workload of deployments on in-process stand-ins.

    A worker and a backend server are lost midway. Exits 1 if a promise
    was broken.

    :param deployments: deployment files, by default both examples.
    """
    loaded = [read_deployment(file) for file in deployments or DEPLOYMENTS]
    configure_logging("demo", "none", EventLevel.ERROR)
    broken = False
    for item in loaded:
        result = Demo(item).run()
        print_result(result)
        broken = broken or bool(result.problems)
    sys.exit(ExitCode.FAILED if broken else ExitCode.DONE)
