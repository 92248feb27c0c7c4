"""Command line of the fault soak."""

from __future__ import annotations

import signal
import sys
import time

from pathlib import Path
from typing import Annotated

from cyclopts import App
from cyclopts import Parameter

from tests.soak.cluster import ROOT
from tests.soak.oracles import TrueHistory
from tests.soak.play import describe
from tests.soak.play import play
from tests.soak.schedule import CALM_S
from tests.soak.schedule import FAULTS
from tests.soak.schedule import Schedule


application = App(name="soak")
MAX_DESCRIBED = 5
MIN_SECONDS = CALM_S + 5


@application.default
def soak(
    *,
    seed: int = 1,
    seeds: str = "",
    seconds: float = 40.0,
    out: Path = Path("target/soak"),
    source: Path = ROOT,
    kinds: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
) -> None:
    """Play real instances and workers under faults, and check the rules.

    Each seed draws a cluster, jobs of which most runs fail, and faults. The
    instances run as deploy/system.toml says; workers and the platform are
    stand-ins. Exits with 1 if a rule was broken.

    :param seed: schedule to play.
    :param seeds: several, as FIRST..LAST.
    :param seconds: length of a play, its last 10 s without faults.
    :param out: folder for logs and histories, one folder in it for each play.
    :param source: checkout of which the instances are run.
    :param kinds: only faults of these kinds.
    """
    unknown = set(kinds) - set(FAULTS)
    if unknown:
        sys.exit(f"unknown kinds {sorted(unknown)}; allowed are {[*FAULTS]}")
    if seconds < MIN_SECONDS:
        sys.exit(f"--seconds {seconds:g} is below the least, {MIN_SECONDS:g}")
    # Ends the processes of a play before this one.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    first, _, last = (seeds or str(seed)).partition("..")
    broken = [
        number
        for number in range(int(first), int(last or first) + 1)
        if not _play_seed(number, seconds, out, source, kinds)
    ]
    print(f"seeds with broken rules: {broken or 'none'}")
    sys.exit(bool(broken))


def _play_seed(
    seed: int, seconds: float, out: Path, source: Path, kinds: tuple[str, ...]
) -> bool:
    schedule = Schedule.from_seed(seed, seconds, kinds)
    folder = out.absolute() / f"{seed}-{time.strftime('%H%M%S')}"
    result = play(schedule, folder, source)
    counts = ", ".join(
        f"{name} {count}" for name, count in sorted(result.counts.items())
    )
    print(f"seed {seed}: {len(result.violations)} broken; {counts}; {folder}")
    history = TrueHistory(folder, schedule)
    for violation in result.violations[:MAX_DESCRIBED]:
        print(describe(violation, history, folder))
    for violation in result.violations[MAX_DESCRIBED:]:
        print(*violation)
    sys.stdout.flush()
    return not result.violations


application()
