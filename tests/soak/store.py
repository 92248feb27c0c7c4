"""Store of the soak: it also removes the entries of silent workers."""

from __future__ import annotations

import json
import threading
import time

from typing import TYPE_CHECKING
from typing import Any

from tests.platform.platform_standin import Reply
from tests.platform.platform_standin import StandinStore
from tests.platform.platform_standin import decode_records
from tests.platform.platform_standin import json_reply


if TYPE_CHECKING:
    from collections.abc import Mapping


THREADS = 80
SERVERS = "keyed.servers"
MISSED_BEATS = 3
CHECK_INTERVAL_S = 0.2


class SoakStore(StandinStore):
    """Store with a list of workers that it keeps by their heartbeats.

    :ivar delay_s: how much later it carries out each call.
    """

    def __init__(self, heartbeat_ms: int) -> None:
        self.delay_s = 0.0
        self._silence_s = MISSED_BEATS * heartbeat_ms / 1_000
        self._beat_lock = threading.Lock()
        self._beat_s: dict[str, float] = {}
        self._entries: dict[str, Mapping[str, object]] = {}
        super().__init__(THREADS)
        threading.Thread(target=self._remove_silent, daemon=True).start()

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        if self.delay_s:
            time.sleep(self.delay_s)
        is_beat = path == "/log-append" and query["topic"] == SERVERS
        if not is_beat or self.is_down:
            return super().handle(path, query, body, headers)
        for worker_id, value in decode_records(body):
            self._take_beat(worker_id, json.loads(value))
        return json_reply({})

    def leader(self) -> str:
        """Return the instance that claimed last, empty if none has."""
        record = self.newest_value("keyed.states", "leader")
        return "" if record is None else str(record[1])

    def _take_beat(self, worker_id: str, entry: dict[str, object]) -> None:
        with self._beat_lock:
            self._beat_s[worker_id] = time.monotonic()
            known = {**self._entries.get(worker_id, {}), "seq": 0}
            if known != {**entry, "seq": 0}:
                self._entries[worker_id] = entry
                self.put(SERVERS, worker_id, entry)

    def _remove_silent(self) -> None:
        while True:
            time.sleep(CHECK_INTERVAL_S)
            with self._beat_lock:
                oldest_s = time.monotonic() - self._silence_s
                for worker_id in list(self._entries):
                    if self._beat_s[worker_id] < oldest_s:
                        del self._entries[worker_id]
                        self.put(SERVERS, worker_id, None)
