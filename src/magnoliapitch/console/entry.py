"""The ``entry`` command."""

from __future__ import annotations

import sys

from collections.abc import Callable
from pathlib import Path
from typing import Annotated
from typing import Protocol

from cyclopts import Parameter

from magnoliapitch.console.ending import ending_on_signals
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.settings import read_settings
from magnoliapitch.event import configure_logging
from magnoliapitch.settings import InvalidSettingsError
from magnoliapitch.settings.cluster import is_cluster_file
from magnoliapitch.settings.cluster import load_cluster_settings


class _Node(Protocol):
    def start(self) -> None: ...

    def stop(self) -> None: ...


def entry(
    *,
    settings: Annotated[Path, Parameter(env_var="MAGNOLIAPITCH_CONFIG")],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    :param settings: TOML settings file.
    """
    ends = ending_on_signals()
    node = _make_node(settings, lambda: ends.put(ExitCode.GAVE_UP))
    node.start()
    exit_code = ends.get()
    node.stop()
    sys.exit(exit_code)


def _make_node(settings: Path, give_up: Callable[[], None]) -> _Node:
    if is_cluster_file(settings):
        return _make_job_node(settings, give_up)
    # Each kind of node loads only what it needs.
    from magnoliapitch.entry import EntryNode

    loaded = read_settings(settings)
    configure_logging(loaded.instance_id, loaded.zone, loaded.log_level)
    return EntryNode.from_settings(loaded, give_up)


def _make_job_node(settings: Path, give_up: Callable[[], None]) -> _Node:
    from magnoliapitch.entry.job_node import JobNode

    try:
        loaded = load_cluster_settings(settings)
    except InvalidSettingsError as error:
        raise CommandError(str(error), ExitCode.INVALID_FILE) from error
    configure_logging(loaded.instance_id, loaded.zone, loaded.log_level)
    return JobNode(loaded, give_up)
