"""Tests that are listed in KNOWN-RED.txt are expected to fail."""

from __future__ import annotations

import re

from pathlib import Path

import pytest

from hypothesis import settings


# For searches by hand, see ``tests/control/search_settings.py``.
settings.register_profile("search")

KNOWN_RED_PAGE = Path(__file__).parents[1] / "KNOWN-RED.txt"
# An entry names its test first: "- tests/package/test_unit.py::test_name", or
# one case of it: "- tests/package/test_unit.py::test_name[0-case]".
TEST_ID = re.compile(r"^- (tests/\S+::\w+(?:\[[^\]\s]+\])?)", re.MULTILINE)


def known_red_ids(page: str) -> frozenset[str]:
    """Return the ids of the tests that a page lists as failing."""
    return frozenset(TEST_ID.findall(page))


def is_known_red(node_id: str, listed_ids: frozenset[str]) -> bool:
    """Return whether a test, or exactly this case of it, is listed."""
    return node_id in listed_ids or node_id.partition("[")[0] in listed_ids


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect listed tests to fail; one that passes must be taken out."""
    if not KNOWN_RED_PAGE.exists():
        return
    listed_ids = known_red_ids(KNOWN_RED_PAGE.read_text())
    for item in items:
        if is_known_red(item.nodeid, listed_ids):
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
