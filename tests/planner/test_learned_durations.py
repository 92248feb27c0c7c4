"""What is learned of durations under the loads of the design page."""

from __future__ import annotations

import math
import random

import pytest

from magnoliapitch.planner.duration.record import MAX_STORED_BYTES
from magnoliapitch.planner.duration.record import encode_learned
from magnoliapitch.planner.duration.record import restore_learned
from magnoliapitch.planner.duration.speed_table import SpeedTable
from magnoliapitch.planner.duration.spread import LogDuration
from magnoliapitch.planner.duration.step_work import StepWork
from tests.planner.durations import QueueLoad
from tests.planner.durations import Site
from tests.planner.durations import uneven_speeds


EVEN = {f"w{number}": 1.0 for number in range(30)}
# Logarithm of 1.7 / 0.7, the ratio of the speeds of the uneven site.
UNEVEN_LOG_RATIO = 0.887
# A third of that, so that fast and slow workers are told apart.
MAX_SPEED_ERROR = 0.3


def expected(site: Site, load: QueueLoad, estimate_ms: float) -> LogDuration:
    return site.learned.expected_of(load.name, estimate_ms, StepWork())


def test_uneven_workers_are_told_apart() -> None:
    """A third of the workers is 1.7 times as fast, the others 0.7 times."""
    site = Site(uneven_speeds())
    site.run(QueueLoad(), 600)
    fast = [site.log_speed(f"w{n}") for n in range(0, 30, 3)]
    slow = [site.log_speed(f"w{n}") for n in range(30) if n % 3]
    assert min(fast) > max(slow)
    ratio = sum(fast) / len(fast) - sum(slow) / len(slow)
    assert ratio == pytest.approx(UNEVEN_LOG_RATIO, abs=MAX_SPEED_ERROR)
    classes = site.learned.speeds.class_by_id
    assert {classes[f"w{n}"] > 0 for n in range(0, 30, 3)} == {True}


def test_equal_workers_have_one_class() -> None:
    """Otherwise the order of candidates would change for no reason."""
    site = Site(EVEN)
    site.run(QueueLoad(estimate_error=0.9), 1_000)
    assert site.learned.speeds.classes == (0,)


def test_a_worker_that_turns_slow_is_noticed() -> None:
    """One worker gets slow while the others stay as they are."""
    site = Site(dict(EVEN))
    site.run(QueueLoad(), 600)
    site.speed_by_worker["w5"] = 0.4
    site.run(QueueLoad(), 400)
    assert site.log_speed("w5") < math.log(0.4) + MAX_SPEED_ERROR
    others = [abs(site.log_speed(name)) for name in EVEN if name != "w5"]
    assert max(others) < MAX_SPEED_ERROR


def test_a_sudden_change_of_the_work_of_a_queue_is_followed() -> None:
    """A new version of a program takes three times as long, everywhere.

    The callers go on to declare what they did.
    """
    site = Site(EVEN)
    site.run(QueueLoad(), 300)
    changed = QueueLoad(work_ms=1_620, declared_share=1 / 3)
    site.run(changed, 30)
    work = expected(site, changed, 540.0)
    assert work.mean == pytest.approx(math.log(1_620), abs=0.35)
    assert max(abs(site.log_speed(name)) for name in EVEN) < MAX_SPEED_ERROR


def test_few_samples_stay_near_the_declared_estimate() -> None:
    """The first tasks of a queue must not decide on all of its work."""
    site = Site(EVEN)
    load = QueueLoad()
    assert expected(site, load, 800.0).median_ms() == pytest.approx(800)
    site.add(load, 1_000.0, StepWork(), ("w1",), 3_000.0)
    work = expected(site, load, 1_000.0)
    assert 1_000 < work.median_ms() <= 3_000
    assert abs(site.log_speed("w1")) < MAX_SPEED_ERROR


def test_a_tail_of_long_tasks_does_not_distort_the_others() -> None:
    """3 in 100 tasks take 7 times as long, wherever they run."""
    site = Site(uneven_speeds())
    load = QueueLoad("q", 2_900, 25, 0.9, 0.5, 0.2, 0.03)
    site.run(load, 200)
    work = expected(site, load, 0.0)
    assert work.mean == pytest.approx(math.log(2_900), abs=0.3)
    fast = [site.log_speed(f"w{n}") for n in range(0, 30, 3)]
    slow = [site.log_speed(f"w{n}") for n in range(30) if n % 3]
    assert min(fast) > max(slow)


@pytest.mark.parametrize(("error", "is_telling"), [(0.1, True), (0.9, False)])
def test_the_slope_follows_the_error_of_the_estimates(
    error: float, is_telling: bool
) -> None:
    """Estimates that are off by 0.9 (log) tell little, good ones much."""
    site = Site(EVEN)
    site.run(QueueLoad(estimate_error=error), 400)
    slope = site.learned.work_by_queue["q"].slope
    assert (slope > 0.8) is is_telling
    assert (slope < 0.45) is not is_telling


def test_finished_tasks_correct_the_others_of_their_step() -> None:
    """Estimates are off by 0.9, but the tasks of one step are similar."""
    site = Site(EVEN)
    load = QueueLoad(estimate_error=0.9, task_count=25)
    site.run(load, 60)
    errors: list[float] = []
    corrected_errors: list[float] = []
    for _ in range(40):
        work_ms, estimate_ms, step_work = site.run_step(load)
        before = expected(site, load, estimate_ms)
        after = site.learned.expected_of(load.name, estimate_ms, step_work)
        errors.append(abs(before.mean - math.log(work_ms)))
        corrected_errors.append(abs(after.mean - math.log(work_ms)))
    assert sum(corrected_errors) < sum(errors) / 3


def test_a_gang_counts_at_the_speed_of_its_slowest_member() -> None:
    """It must make neither its queue nor its fast members look slow."""
    site = Site(uneven_speeds())
    site.run(QueueLoad(), 600)
    gangs = QueueLoad("gangs", 3_400, 20)
    members = ("w0", "w1", "w3")
    fast_before = site.log_speed("w0")
    work_ms = 3_400 * math.exp(-site.log_speed("w1"))
    for _ in range(60):
        site.add(gangs, 3_400.0, StepWork(), members, work_ms)
    assert site.log_speed("w0") == fast_before
    work = expected(site, gangs, 3_400.0)
    assert work.median_ms() == pytest.approx(3_400, rel=0.15)


def test_the_kind_of_a_new_worker_tells_its_speed() -> None:
    """New workers of a slow kind must not get urgent tasks first."""
    site = Site(uneven_speeds())
    site.kind_by_worker = {
        name: "fast" if speed > 1 else "slow"
        for name, speed in site.speed_by_worker.items()
    }
    site.learned.set_workers({}, 0)
    site.refresh()
    site.run(QueueLoad(), 600)
    site.kind_by_worker |= {"new-fast": "fast", "new-slow": "slow"}
    site.refresh()
    assert site.log_speed("new-fast") - site.log_speed("new-slow") > 0.5


def test_a_label_that_explains_nothing_is_not_used() -> None:
    """Zones or versions are labels too, on workers of all speeds."""
    site = Site(uneven_speeds())
    site.kind_by_worker = {
        name: f"zone-{number % 2}"
        for number, name in enumerate(site.speed_by_worker)
    }
    site.learned.set_workers({}, 0)
    site.refresh()
    site.run(QueueLoad(), 600)
    site.kind_by_worker["new"] = "zone-1"
    site.refresh()
    assert site.log_speed("new") == pytest.approx(0)


def test_figures_of_workers_that_left_are_dropped() -> None:
    site = Site(dict(EVEN))
    site.run(QueueLoad(), 50)
    del site.kind_by_worker["w3"]
    site.refresh()
    assert "w3" not in site.learned.speeds.speeds_by_id


def test_the_next_leader_goes_on_from_the_record() -> None:
    """Its workers are listed only after it has read the record."""
    site = Site(uneven_speeds())
    site.run(QueueLoad(), 600)
    after = Site({})
    restore_learned(after.learned, encode_learned(site.learned))
    after.refresh()
    after.kind_by_worker = dict(site.kind_by_worker)
    after.refresh()
    assert after.log_speed("w0") == pytest.approx(
        site.log_speed("w0"), abs=0.02
    )
    work = expected(after, QueueLoad(), 540.0)
    assert work.mean == pytest.approx(
        expected(site, QueueLoad(), 540.0).mean, abs=0.02
    )


def test_the_record_is_bounded_with_the_longest_names() -> None:
    names = [f"{number:0250}" for number in range(2_000)]
    site = Site(dict.fromkeys(names, 1.0))
    for name in names:
        site.run(QueueLoad(name, task_count=1), 1)
    value = encode_learned(site.learned)
    assert 0.4 * MAX_STORED_BYTES < len(value) <= MAX_STORED_BYTES
    restore_learned(Site({}).learned, value)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[1, 2]",
        b'{"workers": {"w": "fast"}, "queues": {}}',
        b'[{"w1": [100000, 1]}, {}]',
        b'[{}, {"q": [1, 1, 1, 1, 1, -1, 1]}]',
        b'[{}, {"q": [1e300, 1, 1, 1, 1, 1, 1]}]',
    ],
)
def test_an_unreadable_record_changes_nothing(value: bytes) -> None:
    site = Site({"w1": 1.0})
    with pytest.raises(ValueError, match=r"."):
        restore_learned(site.learned, value)
    assert not site.learned.work_by_queue
    assert site.log_speed("w1") == 0


def test_the_remaining_time_of_a_long_run_grows_with_its_age() -> None:
    """A run of the tail, far beyond its expected end, is not about to end."""
    distribution = LogDuration(math.log(1_000), 0.2)
    assert distribution.remaining_ms(0) > distribution.remaining_ms(500) > 0
    assert distribution.remaining_ms(20_000) > distribution.remaining_ms(2_000)
    assert distribution.remaining_ms(10**9) > 0


def test_quantiles_follow_the_spread() -> None:
    distribution = LogDuration(math.log(1_000), 0.25)
    assert distribution.quantile_ms(0.5) == pytest.approx(1_000)
    assert distribution.quantile_ms(0.95) == pytest.approx(2_276, rel=0.01)


# Even workers seemed uneven by chance, and were served worse than before.
@pytest.mark.parametrize(
    ("deviation", "is_uneven"), [(0.0, False), (0.15, False), (0.5, True)]
)
def test_workers_are_uneven_only_if_they_differ_more_than_tasks(
    deviation: float, is_uneven: bool
) -> None:
    speeds = SpeedTable()
    source = random.Random(1)
    log_speed_by_id = {
        f"w{number}": (-1) ** number * deviation for number in range(24)
    }
    speeds.set_workers(dict.fromkeys(log_speed_by_id, "a"), 0)
    for round_number in range(20):
        for worker_id, log_speed in log_speed_by_id.items():
            measured = log_speed + source.gauss(0, 0.3)
            worker = speeds.speeds_by_id[worker_id]
            worker.add(measured, 0.09, round_number * 500)
    speeds.classify()
    assert speeds.is_uneven is is_uneven
