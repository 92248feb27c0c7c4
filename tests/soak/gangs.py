"""What the members of gangs on different workers know of each other."""

from __future__ import annotations

import json
import threading

from enum import StrEnum
from typing import Any

from tests.platform.platform_standin import HttpServer
from tests.platform.platform_standin import Reply
from tests.platform.platform_standin import json_reply


class GangMessage(StrEnum):
    HERE = "here"
    DONE = "done"
    ENDED = "ended"


class _Gang:
    def __init__(self) -> None:
        self.members: set[str] = set()
        self.over = ""


class GangServer(HttpServer):
    """Tells members of a run when it is complete and how it is over."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._gangs: dict[str, _Gang] = {}
        super().__init__()

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        key, member, size, message = json.loads(body)
        with self._lock:
            gang = self._gangs.setdefault(key, _Gang())
            gang.members.add(member)
            is_complete = len(gang.members) == size
            if message == GangMessage.ENDED:
                gang.over = gang.over or "broken"
            elif message == GangMessage.DONE and is_complete:
                gang.over = gang.over or "done"
            return json_reply({"complete": is_complete, "over": gang.over})
