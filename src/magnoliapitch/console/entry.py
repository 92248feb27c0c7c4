"""The ``entry`` command."""

from __future__ import annotations

import signal
import sys

from pathlib import Path
from queue import SimpleQueue

from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.entry import EntryNode
from magnoliapitch.event import configure_logging
from magnoliapitch.settings import load_settings


def entry(*, settings: Path) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    :param settings: TOML settings file.
    """
    loaded = load_settings(settings)
    configure_logging(loaded.instance_id, loaded.zone, loaded.log_level)
    ends: SimpleQueue[ExitCode] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ends.put(ExitCode.DONE))
    node = EntryNode.from_settings(loaded, lambda: ends.put(ExitCode.GAVE_UP))
    node.start()
    exit_code = ends.get()
    node.stop()
    sys.exit(exit_code)
