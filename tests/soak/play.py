"""Plays a schedule and checks what happened."""

from __future__ import annotations

import time

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.clients import Clients
from tests.soak.cluster import ROOT
from tests.soak.cluster import SoakCluster
from tests.soak.faults import FaultPlayer
from tests.soak.oracles import ENDED_STATES
from tests.soak.oracles import TrueHistory
from tests.soak.oracles import Violation
from tests.soak.oracles import check
from tests.soak.oracles import count_known_excess
from tests.soak.schedule import CALM_S
from tests.soak.schedule import START_S


if TYPE_CHECKING:
    from pathlib import Path

    from tests.soak.schedule import Schedule


# After the calm, jobs are asked for until they have ended or this has passed.
FINISH_S = 6.0
ASK_PAUSE_S = 0.3
LAST_ASKS = 3
NO_ANSWER = "0"


class PlayResult(NamedTuple):
    """What a play showed.

    :param counts: of what was seen, by its name.
    """

    violations: list[Violation]
    counts: Counter[str]


def play(schedule: Schedule, folder: Path, source: Path = ROOT) -> PlayResult:
    """Play a schedule; logs and histories are kept in the folder.

    :param source: checkout of which the instances are run.
    """
    folder.mkdir(parents=True)
    cluster = SoakCluster(schedule, folder, source)
    try:
        cluster.start()
        time.sleep(START_S)
        began_s = time.monotonic()
        faults = FaultPlayer(cluster, began_s)
        faults.start()
        clients = Clients(cluster)
        clients.run(began_s)
        faults.join()
        calm_s = began_s + schedule.seconds - CALM_S
        time.sleep(max(0, calm_s + CALM_S - time.monotonic()))
        _ask_for_all(clients, cluster)
        for process in cluster.processes():
            if not process.is_alive():
                cluster.history.record("gone", name=process.name)
    finally:
        cluster.close()
    history = TrueHistory(folder, schedule)
    violations = check(history)
    return PlayResult(violations, _count(history))


def describe(violation: Violation, history: TrueHistory, folder: Path) -> str:
    """Return a violation with its history and what the logs say of it."""
    lines = [f"{violation.rule} {violation.job_id} {violation.text}"]
    for task, runs in sorted(history.runs_by_task.items()):
        if task.startswith(violation.task or violation.job_id):
            lines += [f"  {run}" for run in runs]
    for path in sorted(folder.glob("entry-*.log")):
        lines += [
            f"  {path.stem}: {line}"
            for line in path.read_text(errors="replace").splitlines()
            if violation.job_id in line
        ]
    return "\n".join(lines)


def _ask_for_all(clients: Clients, cluster: SoakCluster) -> None:
    """Ask for each job until it has ended; record the last answer as such."""
    until_s = time.monotonic() + FINISH_S
    for job in clients.acknowledged:
        while clients.ask(job) not in ENDED_STATES:
            if time.monotonic() > until_s:
                break
            time.sleep(ASK_PAUSE_S)
        # An instance that does not answer may still be starting.
        for _ in range(LAST_ASKS):
            if clients.ask(job, last=True) != NO_ANSWER:
                break


def _count(history: TrueHistory) -> Counter[str]:
    counts: Counter[str] = Counter(
        acknowledged=len(history.acknowledged_s), lapses=history.lapse_count
    )
    for runs in history.runs_by_task.values():
        counts.update(f"runs {run.kind or 'active'}" for run in runs)
        counts["ends not noted"] += sum(
            not run.is_noted and run.kind == "failed" for run in runs
        )
    for row in history.rows_of("state"):
        counts[f"last {row['state']}"] += "last" in row
    counts["starts beyond known failures"] = count_known_excess(history)
    counts["faults"] = len(history.rows_of("fault"))
    return +counts
