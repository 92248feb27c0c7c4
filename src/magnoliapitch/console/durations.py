"""The ``durations`` commands."""

from __future__ import annotations

from pathlib import Path

from cyclopts import App

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.planner.duration.replay import read_ends
from magnoliapitch.planner.duration.replay import replay


durations = App(name="durations", help="Examine learned task durations.")


@durations.command(name="replay")
def replay_file(file: Path) -> None:
    """Print the errors of the estimates for recorded ends, by queue.

    Each line of the file is a JSON object with ``queue``, ``estimate_ms`` (0
    if none was declared), ``step`` (an id), ``worker``, ``kind`` and
    ``duration_ms``, in the order of the ends. An error is the root mean square
    of the logarithm of actual to estimated duration, before each end is
    learned from: of the moving average, and with learned speeds.

    :param file: recorded ends.
    """
    try:
        ends = read_ends(file.read_text().splitlines())
    except (OSError, ValueError) as error:
        raise CommandError(
            f"{file} cannot be read: {error}", ExitCode.INVALID_FILE
        ) from error
    print(f"{'queue':20} {'ends':>7} {'before':>7} {'after':>7}")
    for queue, errors in sorted(replay(ends).items()):
        print(
            f"{queue:20} {errors.end_count:7} {errors.moving_average:7.3f} "
            f"{errors.learned:7.3f}"
        )


__all__ = ["durations"]
