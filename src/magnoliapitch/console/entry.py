"""The ``entry`` command."""

from __future__ import annotations

import sys

from pathlib import Path

from magnoliapitch.console.ending import ending_on_signals
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.settings import read_settings
from magnoliapitch.entry import EntryNode
from magnoliapitch.event import configure_logging


def entry(*, settings: Path) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    :param settings: TOML settings file.
    """
    loaded = read_settings(settings)
    configure_logging(loaded.instance_id, loaded.zone, loaded.log_level)
    ends = ending_on_signals()
    node = EntryNode.from_settings(loaded, lambda: ends.put(ExitCode.GAVE_UP))
    node.start()
    exit_code = ends.get()
    node.stop()
    sys.exit(exit_code)
