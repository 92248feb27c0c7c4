"""The ``entry`` command."""

from __future__ import annotations

import sys

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Protocol

from cyclopts import Parameter

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.settings import read_cluster_settings
from magnoliapitch.console.settings import read_settings
from magnoliapitch.console.signals import ending_on_signals
from magnoliapitch.console.signals import reload_on_hangup
from magnoliapitch.event import configure_logging
from magnoliapitch.event import log_event
from magnoliapitch.event.writer import LineWriter
from magnoliapitch.settings.cluster import is_cluster_file


if TYPE_CHECKING:
    from magnoliapitch.settings import Settings
    from magnoliapitch.settings.cluster import ClusterSettings


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
    writer = LineWriter(sys.stdout)
    node = _make_node(settings, writer, lambda: ends.put(ExitCode.GAVE_UP))
    reload_on_hangup(lambda: _reload(settings, writer))
    node.start()
    exit_code = ends.get()
    node.stop()
    writer.close()
    sys.exit(exit_code)


def _configure_log(
    loaded: Settings | ClusterSettings, writer: LineWriter
) -> None:
    configure_logging(
        loaded.instance_id, loaded.zone, loaded.log_level, write=writer.write
    )


def _reload(settings: Path, writer: LineWriter) -> None:
    """Check the settings again; only the log level is changed in place."""
    is_cluster = is_cluster_file(settings)
    read = read_cluster_settings if is_cluster else read_settings
    try:
        loaded = read(settings)
    except CommandError as error:
        log_event("settings-rejected", reason=str(error))
        return
    _configure_log(loaded, writer)
    log_event("settings-reloaded", log_level=loaded.log_level)


def _make_node(
    settings: Path, writer: LineWriter, give_up: Callable[[], None]
) -> _Node:
    if is_cluster_file(settings):
        return _make_job_node(settings, writer, give_up)
    # Each kind of node loads only what it needs.
    from magnoliapitch.entry.node import EntryNode

    loaded = read_settings(settings)
    _configure_log(loaded, writer)
    return EntryNode.from_settings(loaded, give_up)


def _make_job_node(
    settings: Path, writer: LineWriter, give_up: Callable[[], None]
) -> _Node:
    from magnoliapitch.entry.job_node import JobNode

    loaded = read_cluster_settings(settings)
    _configure_log(loaded, writer)
    return JobNode(loaded, give_up)
