from __future__ import annotations

from tests.conftest import is_known_red
from tests.conftest import known_red_ids


def test_only_entries_that_begin_with_a_test_id_are_expected_to_fail() -> None:
    page = """Findings that are not traced to their end:

- LIMIT, seen once: see tests/control/test_limit.py::test_not_listed.

- tests/control/test_limit.py::test_listed (seed 7): two starts too many.
"""
    assert known_red_ids(page) == {"tests/control/test_limit.py::test_listed"}


# An entry for one schedule of many would pass over the others' failures.
def test_an_entry_with_parameters_expects_only_that_case_to_fail() -> None:
    page = """- tests/control/test_limit.py::test_one[0-Effects] (no seed):
  seen once.

- tests/control/test_limit.py::test_all
"""
    ids = known_red_ids(page)
    assert is_known_red(
        "tests/control/test_limit.py::test_one[0-Effects]", ids
    )
    assert not is_known_red("tests/control/test_limit.py::test_one", ids)
    for case in ("[1-Effects]", "[0-Effects2]", "[10-Effects]"):
        node_id = f"tests/control/test_limit.py::test_one{case}"
        assert not is_known_red(node_id, ids)
    assert is_known_red("tests/control/test_limit.py::test_all", ids)
    assert is_known_red("tests/control/test_limit.py::test_all[0]", ids)
