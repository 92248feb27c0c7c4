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
    """Run the workloads of deployments against simulated services.

    All services run inside this process. Each run loses a worker and a
    backend server midway. The exit code is 1 if a run violated a guarantee
    of the scheduler.

    :param deployments: deployment files, by default both examples.
    """
    loaded = [read_deployment(file) for file in deployments or DEPLOYMENTS]
    configure_logging("demo", "none", EventLevel.ERROR)
    has_failed = False
    for deployment in loaded:
        result = Demo(deployment).run()
        print_result(result)
        has_failed = has_failed or bool(result.problems)
    sys.exit(ExitCode.FAILED if has_failed else ExitCode.DONE)
