"""History of a play, a JSON line for each event."""

from __future__ import annotations

import json
import threading
import time

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from pathlib import Path


class History:
    """Writes what the harness does and sees."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("a")

    def record(self, event: str, **fields: object) -> None:
        row = {"t": round(time.monotonic(), 4), "event": event, **fields}
        with self._lock:
            self._file.write(json.dumps(row) + "\n")
            self._file.flush()


def read_rows(path: Path) -> list[dict[str, Any]]:
    """Return the events; a line that a killed process tore is left out."""
    rows = []
    for line in path.read_text().splitlines():
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue
    return rows
