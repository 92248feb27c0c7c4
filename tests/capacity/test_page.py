from __future__ import annotations

from pathlib import Path

import pytest

from magnoliapitch.capacity import Measurement
from magnoliapitch.capacity import MeasurementError
from magnoliapitch.capacity import Plan
from magnoliapitch.capacity import Target
from magnoliapitch.capacity import refresh_page
from magnoliapitch.capacity.requirement_rows import ratio
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.total_load import total


DOCS = Path(__file__).parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"


@pytest.fixture(scope="module")
def measurement() -> Measurement:
    return Measurement.from_file(DOCS / "capacity" / "measurement.json")


def test_page_shows_the_committed_measurement(
    measurement: Measurement,
) -> None:
    page = PAGE.read_text("utf-8")
    assert refresh_page(page, measurement) == page


def test_page_changes_with_the_measurement(measurement: Measurement) -> None:
    page = PAGE.read_text("utf-8")
    for index, slope in enumerate(measurement.slopes):
        slopes = list(measurement.slopes)
        slopes[index] = slope._replace(per_item=slope.per_item * 2)
        doubled = measurement._replace(slopes=tuple(slopes))
        assert refresh_page(page, doubled) != page, slope.name


def test_page_refuses_a_table_or_slope_that_is_missing(
    measurement: Measurement,
) -> None:
    unknown = "<!-- table: nothing -->\n<!-- end -->"
    with pytest.raises(MeasurementError, match="no table 'nothing'"):
        refresh_page(unknown, measurement)
    with pytest.raises(MeasurementError, match="no slope"):
        refresh_page(PAGE.read_text("utf-8"), Measurement(()))


def test_measurement_has_four_sizes_a_slope(measurement: Measurement) -> None:
    for slope in measurement.slopes:
        assert len({point.size for point in slope.points}) >= 4, slope.name


def test_total_grows_with_the_target(measurement: Measurement) -> None:
    plan = Plan.as_built()
    small = total(Sizing(Target(), plan, measurement))
    target = Target(workers=36_000, starts_per_second=4_000)
    large = total(Sizing(target, plan, measurement))
    assert large.core_share > small.core_share
    assert large.bytes_per_second > small.bytes_per_second


def test_ratio_says_plainly_that_a_limit_is_passed() -> None:
    assert ratio(10, 5) == "2.0x"
    assert ratio(10, 20) == "passed (0.50x)"
