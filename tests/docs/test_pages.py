from __future__ import annotations

import ast
import importlib
import re

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from magnoliapitch.console.application import application
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.event import kinds_by_name
from magnoliapitch.settings import setting_infos


if TYPE_CHECKING:
    from collections.abc import Iterator

    from cyclopts import App

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES = (*ROOT.glob("*.md"), *DOCS.rglob("*.md"))


def table_rows(page: str) -> list[list[str]]:
    lines = (DOCS / page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("| ") and not line.startswith("| ---")
    ]


def test_settings_page_lists_every_setting_with_its_default() -> None:
    listed = {
        row[0].strip("`"): row[2].strip("`")
        for row in table_rows("settings.md")
        if row[0].startswith("`")
    }
    assert listed == {info.key: info.default for info in setting_infos()}


def test_events_page_lists_every_event_with_level_and_action() -> None:
    rows = {
        row[0].strip("`"): row
        for row in table_rows("events.md")
        if row[0].startswith("`")
    }
    assert set(rows) == set(kinds_by_name)
    for name, kind in kinds_by_name.items():
        assert rows[name][1] == kind.level.value
        if kind.is_alarm:
            assert rows[name][3], name


def test_logged_events_are_exactly_the_defined_events() -> None:
    logged: set[str] = set()
    for path in (ROOT / "src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Name)
                and node.func.id == "log_event"
            ):
                name = node.args[0]
                assert isinstance(name, ast.Constant), path
                logged.add(str(name.value))
    assert logged == set(kinds_by_name)


def command_paths(app: App, prefix: str) -> Iterator[str]:
    for name in app:
        if name.startswith("-"):
            continue
        child = app[name]
        if any(not item.startswith("-") for item in child):
            yield from command_paths(child, f"{prefix} {name}")
        else:
            yield f"{prefix} {name}"


def test_cli_page_lists_every_command_and_exit_code() -> None:
    text = (DOCS / "cli.md").read_text()
    for command in command_paths(application, "magnoliapitch"):
        if not command.startswith("magnoliapitch bench"):
            assert f"| `{command}" in text, command
    listed = {
        (int(row[0]), row[1])
        for row in table_rows("cli.md")
        if row[0].isdigit()
    }
    assert listed == {(code.value, code.name) for code in ExitCode}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_page_links_have_existing_targets(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
        if not target.startswith("http"):
            assert (page.parent / target).exists(), target


def _limit(name: str) -> object:
    module, _, constant = name.rpartition(".")
    return getattr(
        importlib.import_module(f"magnoliapitch.{module}"), constant
    )


def test_limits_page_lists_every_limit_of_planning_with_its_value() -> None:
    listed = {
        row[0].strip("`"): row[1]
        for row in table_rows("limits.md")
        if row[0].startswith("`")
    }
    source = ROOT / "src" / "magnoliapitch"
    defined = {
        ".".join(path.relative_to(source).with_suffix("").parts) + f".{name}"
        for path in (source / "planner").rglob("*.py")
        for name in re.findall(
            r"^(MAX_\w*(?:STEPS|JOBS|TASKS?|GANGS|WORKERS|STATES)\w*) = ",
            path.read_text(),
            re.MULTILINE,
        )
    }
    assert defined <= set(listed)
    assert listed == {name: str(_limit(name)) for name in listed}
