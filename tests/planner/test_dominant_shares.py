from __future__ import annotations

import random

import pytest

from magnoliapitch.planner.dominant_shares import Demand
from magnoliapitch.planner.dominant_shares import divide


def test_what_a_small_demand_leaves_goes_to_the_others_by_weight() -> None:
    shares = divide(
        {
            "small": Demand(1.0, (0.1, 0.0)),
            "heavy": Demand(2.0, (1.0, 0.1)),
            "light": Demand(1.0, (1.0, 0.1)),
        }
    )
    assert shares == pytest.approx({"small": 0.1, "heavy": 0.6, "light": 0.3})


def test_demands_that_fit_are_met_in_full() -> None:
    demands = {"a": Demand(1.0, (0.4, 0.2)), "b": Demand(5.0, (0.1, 0.7))}
    assert divide(demands) == pytest.approx({"a": 0.4, "b": 0.7})


def test_a_resource_that_is_used_up_stops_only_those_that_use_it() -> None:
    shares = divide(
        {
            "cpu": Demand(1.0, (3.0, 0.0)),
            "both": Demand(1.0, (3.0, 1.0)),
            "memory": Demand(1.0, (0.0, 2.0)),
        }
    )
    assert shares == pytest.approx({"cpu": 0.5, "both": 0.5, "memory": 5 / 6})


# Rounding left a rate of a resource that no participant uses, and the
# division did not end.
def test_weights_of_very_different_sizes_end_the_division() -> None:
    source = random.Random(1)
    for _ in range(300):
        demands = {
            number: Demand(
                10 ** source.uniform(-6, 8),
                (source.uniform(0, 3), source.choice((0.0, 1.5))),
            )
            for number in range(20)
        }
        shares = divide(demands)
        assert all(
            0 <= shares[key] <= demand.dominant + 1e-9
            for key, demand in demands.items()
        )


def test_no_demand_has_no_share() -> None:
    assert divide({"none": Demand(1.0, (0.0, 0.0))}) == {"none": 0.0}
    assert divide({}) == {}


def test_division_is_feasible_and_leaves_nothing_that_is_needed() -> None:
    choice = random.Random(3)
    for _ in range(300):
        demands = {
            number: Demand(
                choice.choice((0.5, 1.0, 3.0)),
                tuple(choice.choice((0, choice.random())) for _ in range(3)),
            )
            for number in range(choice.randrange(1, 12))
        }
        shares = divide(demands)
        used = [
            sum(
                shares[key] / demand.dominant * demand.fractions[resource]
                for key, demand in demands.items()
                if demand.dominant
            )
            for resource in range(3)
        ]
        assert max(used) <= 1 + 1e-9
        for key, demand in demands.items():
            is_met = shares[key] >= demand.dominant - 1e-9
            assert is_met or any(
                fraction and amount > 1 - 1e-6
                for fraction, amount in zip(
                    demand.fractions, used, strict=True
                )
            )
