from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from magnoliapitch.planner.fair_shares import fair_shares


def test_small_demands_are_met_and_large_ones_share_the_rest() -> None:
    shares = fair_shares({"a": 140, "b": 20, "c": 300}, 150)
    assert shares == {"a": 65, "b": 20, "c": 65}


def test_units_that_cannot_be_divided_go_to_the_first_keys() -> None:
    assert fair_shares({"a": 9, "b": 9, "c": 9}, 8) == {"a": 3, "b": 3, "c": 2}
    assert fair_shares({"a": 9, "b": 1, "c": 9}, 2) == {"a": 1, "b": 1, "c": 0}


def test_everything_is_met_if_there_is_enough() -> None:
    assert fair_shares({"a": 3, "b": 0}, 10) == {"a": 3, "b": 0}


def test_nothing_is_divided_without_demand() -> None:
    assert fair_shares({}, 10) == {}


@given(
    st.dictionaries(st.text(), st.integers(0, 1_000)), st.integers(0, 2_000)
)
def test_shares_use_the_amount_and_favour_no_larger_demand(
    demands: dict[str, int], total: int
) -> None:
    shares = fair_shares(demands, total)
    assert sum(shares.values()) == min(total, sum(demands.values()))
    largest = max(shares.values(), default=0)
    for key, demand in demands.items():
        # Equal shares of whole units differ by one at most.
        assert shares[key] == demand or shares[key] >= largest - 1
