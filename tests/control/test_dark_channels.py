"""Steps wait for permits while some channels to the advisor are dark.

Incident LOST on zarno-grain: three of six peers were dark. A call through one
failed after half a second, and after a rest the next step's call went through
it again, while jobs stood still beside free workers.
"""

from __future__ import annotations

import random

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.dark_channels import use_channels
from tests.control.idle_waits import IdleWaits
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


CAPACITY = Resources(16_000, 64_000)
SIZE = Resources(1_000, 4_000)
WORKER_COUNT = 24
PERMITTED_SHARE = 0.2
# A call about 24 workers takes half a second.
PERMIT_TIMING = PermitTiming(450, 2, 2_500)
PEER_COUNT = 6
MAX_WITHOUT_PERMIT_MS = 3_000
PLAY_MS = 20_000
SETTLE_MS = 30_000
# With one call a step, three quarters of what the channels can take of which
# three are dark: 6 of 8 calls in a second.
JOBS_PER_S = 4.0
SEEDS = range(4)


class DarkRun:
    """Small jobs of one or two steps, for which there is ample room."""

    def __init__(
        self,
        seed: int,
        dark_count: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self._random = random.Random(seed)
        self._job_count = 0
        self.simulation = Simulation(
            [queue("q", permit_timing=PERMIT_TIMING)],
            workers(WORKER_COUNT, CAPACITY),
            effects_type=use_channels(monkeypatch, PEER_COUNT, dark_count),
        )
        self.simulation.permitted_share = PERMITTED_SHARE
        self.simulation.actual_duration_ms = lambda _: self._random.choice(
            (400.0, 1_500.0, 4_000.0)
        )
        self.idle_waits = IdleWaits(self.simulation)

    def play(self, duration_ms: int) -> None:
        """Submit jobs for a while and let all end."""
        end_ms = self.simulation.now_ms + duration_ms
        while self.simulation.now_ms < end_ms:
            self._submit()
            pause_ms = self._random.expovariate(JOBS_PER_S / 1_000)
            self.simulation.run(int(pause_ms))
        self.simulation.run(SETTLE_MS)

    def check(self) -> None:
        """Check that every job ended, and none stood still beside room."""
        assert self.simulation.violations == []
        self.idle_waits.check()
        assert len(self.simulation.finished) == self._job_count

    def _submit(self) -> None:
        steps = tuple(
            StepSpec(
                self._random.randrange(1, 4),
                SIZE,
                depends_on=tuple(range(number)),
            )
            for number in range(self._random.randrange(1, 3))
        )
        job_id = f"j{self._job_count}"
        self._job_count += 1
        self.simulation.submit(JobSpec(job_id, "q", "text", steps))


@pytest.mark.parametrize("dark_count", [0, 2, 3])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_step_stands_still_while_channels_are_dark(
    seed: int, dark_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = DarkRun(seed, dark_count, monkeypatch)
    run.play(PLAY_MS)
    run.check()


# Each of several steps needs one call; those that go through dark channels
# must be sent again elsewhere.
@pytest.mark.parametrize("dark_count", [0, 2, 3, 5])
def test_every_waiting_step_gets_a_call_that_succeeds(
    dark_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = DarkRun(0, dark_count, monkeypatch)
    simulation = run.simulation
    simulation.run(5_000)
    submitted_ms = simulation.now_ms
    for number in range(8):
        simulation.submit(
            JobSpec(f"s{number}", "q", "text", (StepSpec(1, SIZE),))
        )
    simulation.run(MAX_WITHOUT_PERMIT_MS)
    assert simulation.now_ms - submitted_ms == MAX_WITHOUT_PERMIT_MS
    started = {task.job_id for task in simulation.starts}
    assert started == {f"s{number}" for number in range(8)}
    run.idle_waits.check()
