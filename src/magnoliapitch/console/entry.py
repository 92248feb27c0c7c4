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
from magnoliapitch.console.signals import install_reload_signal
from magnoliapitch.console.signals import install_stop_signals
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

    SIGHUP reads the settings file again and applies the log level.

    :param settings: TOML settings file.
    """
    exit_codes = install_stop_signals()
    log_writer = LineWriter(sys.stdout)
    node = _make_node(
        settings, log_writer, lambda: exit_codes.put(ExitCode.GAVE_UP)
    )
    install_reload_signal(lambda: _reload_log_level(settings, log_writer))
    node.start()
    exit_code = exit_codes.get()
    node.stop()
    log_writer.close()
    sys.exit(exit_code)


def _configure_logging(
    loaded_settings: Settings | ClusterSettings, log_writer: LineWriter
) -> None:
    configure_logging(
        loaded_settings.instance_id,
        loaded_settings.zone,
        loaded_settings.log_level,
        write=log_writer.write,
    )


def _reload_log_level(settings: Path, log_writer: LineWriter) -> None:
    """Read the settings again and apply the log level, if they are valid.

    The other settings take effect at the next start.
    """
    is_cluster = is_cluster_file(settings)
    read_file = read_cluster_settings if is_cluster else read_settings
    try:
        loaded_settings = read_file(settings)
    except CommandError as error:
        log_event("settings-rejected", reason=str(error))
        return
    _configure_logging(loaded_settings, log_writer)
    log_event("settings-reloaded", log_level=loaded_settings.log_level)


def _make_node(
    settings: Path, log_writer: LineWriter, give_up: Callable[[], None]
) -> _Node:
    if is_cluster_file(settings):
        return _make_job_node(settings, log_writer, give_up)
    # Imported here so that each kind of instance loads only the modules
    # that it needs.
    from magnoliapitch.entry.node import EntryNode

    loaded_settings = read_settings(settings)
    _configure_logging(loaded_settings, log_writer)
    return EntryNode.from_settings(loaded_settings, give_up)


def _make_job_node(
    settings: Path, log_writer: LineWriter, give_up: Callable[[], None]
) -> _Node:
    from magnoliapitch.entry.job_node import JobNode

    loaded_settings = read_cluster_settings(settings)
    _configure_logging(loaded_settings, log_writer)
    return JobNode(loaded_settings, give_up)
