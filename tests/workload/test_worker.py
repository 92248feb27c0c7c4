from __future__ import annotations

import pytest

from magnoliapitch.workload.worker import Incarnation


@pytest.mark.parametrize(
    "incarnation",
    [Incarnation("w"), Incarnation("w", 5), Incarnation("a@b", 5)],
)
def test_an_id_stands_for_one_incarnation(incarnation: Incarnation) -> None:
    assert Incarnation.from_worker_id(incarnation.worker_id) == incarnation


def test_a_name_with_the_separator_alone_has_no_start() -> None:
    assert Incarnation.from_worker_id("w@x") == Incarnation("w@x")


@pytest.mark.parametrize(
    ("current", "former", "expected"),
    [
        (Incarnation("w", 2), Incarnation("w", 1), True),
        (Incarnation("w", 1), Incarnation("w", 2), False),
        (Incarnation("w", 2), Incarnation("v", 1), False),
        (Incarnation("w", 2), Incarnation("w"), False),
        (Incarnation("w"), Incarnation("w", 1), False),
    ],
)
def test_an_incarnation_follows_an_earlier_one_of_its_name(
    current: Incarnation, former: Incarnation, *, expected: bool
) -> None:
    assert current.has_followed(former) is expected
