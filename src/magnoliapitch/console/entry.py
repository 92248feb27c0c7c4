"""The ``entry`` command."""

from __future__ import annotations

import signal
import threading

from pathlib import Path

from magnoliapitch.entry import EntryNode
from magnoliapitch.event import configure_logging
from magnoliapitch.settings import load_settings


def entry(*, settings: Path) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    :param settings: TOML settings file.
    """
    loaded = load_settings(settings)
    configure_logging(loaded.instance_id, loaded.zone, loaded.log_level)
    node = EntryNode.from_settings(loaded)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    node.start()
    stopping.wait()
    node.stop()
