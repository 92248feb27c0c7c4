from __future__ import annotations

from tests.conftest import known_red_ids


def test_only_entries_that_begin_with_a_test_id_are_expected_to_fail() -> None:
    page = """Findings that are not traced to their end:

- LIMIT, seen once: see tests/control/test_limit.py::test_not_listed.

- tests/control/test_limit.py::test_listed (seed 7): two starts too many.
"""
    assert known_red_ids(page) == {"tests/control/test_limit.py::test_listed"}
