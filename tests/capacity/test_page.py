from __future__ import annotations

from pathlib import Path

import pytest

from magnoliapitch.capacity import Measurement
from magnoliapitch.capacity import MeasurementError
from magnoliapitch.capacity import Plan
from magnoliapitch.capacity import Target
from magnoliapitch.capacity import refresh_page
from magnoliapitch.capacity.requirement_rows import format_headroom
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.total_load import total_load


DOCS = Path(__file__).parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"


@pytest.fixture(scope="module")
def measurement() -> Measurement:
    return Measurement.from_file(DOCS / "capacity" / "measurement.json")


def test_page_matches_the_committed_measurement(
    measurement: Measurement,
) -> None:
    page = PAGE.read_text("utf-8")
    assert refresh_page(page, measurement) == page


def test_every_slope_affects_the_page(measurement: Measurement) -> None:
    page = PAGE.read_text("utf-8")
    for index, slope in enumerate(measurement.slopes):
        slopes = list(measurement.slopes)
        slopes[index] = slope._replace(per_item=slope.per_item * 2)
        doubled = measurement._replace(slopes=tuple(slopes))
        assert refresh_page(page, doubled) != page, slope.name


def test_unknown_table_or_missing_slope_is_an_error(
    measurement: Measurement,
) -> None:
    unknown = "<!-- table: nothing -->\n<!-- end -->"
    with pytest.raises(MeasurementError, match="no table 'nothing'"):
        refresh_page(unknown, measurement)
    with pytest.raises(MeasurementError, match="no slope"):
        refresh_page(PAGE.read_text("utf-8"), Measurement(()))


def test_every_slope_has_at_least_four_sizes(measurement: Measurement) -> None:
    for slope in measurement.slopes:
        assert len({point.size for point in slope.points}) >= 4, slope.name


def test_total_load_grows_with_the_target(measurement: Measurement) -> None:
    plan = Plan.as_built()
    small = total_load(Sizing(Target(), plan, measurement))
    target = Target(workers=36_000, starts_per_second=4_000)
    large = total_load(Sizing(target, plan, measurement))
    assert large.core_share > small.core_share
    assert large.bytes_per_second > small.bytes_per_second


def test_headroom_names_a_limit_that_is_exceeded() -> None:
    assert format_headroom(10, 5) == "2.0x"
    assert format_headroom(10, 20) == "passed (0.50x)"
