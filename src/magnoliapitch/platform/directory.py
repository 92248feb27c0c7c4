"""The platform's list of runners and its configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.platform.configuration import configuration_from
from magnoliapitch.platform.configuration import resources_from
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration


WORKER_STREAM = "servers"
OPERATOR_STREAM = "op"
CONFIGURATION_KEY = "config"
RACK_PREFIX = "r"
STATES = ("ready", "draining")


class PlatformDirectory:
    """Runners and configuration, from the streams that others write."""

    def __init__(self, streams: KeyedStreams) -> None:
        self._workers = StreamMirror(streams, WORKER_STREAM)
        self._operator = StreamMirror(streams, OPERATOR_STREAM)
        self._info_by_id: dict[str, WorkerInfo] = {}
        self._rejected: set[str] = set()

    def workers(self) -> Result[Mapping[str, WorkerInfo], Failure]:
        """Return every listed worker by id."""
        changed = self._workers.refresh()
        if isinstance(changed, Err):
            return changed
        for key in changed.ok_value:
            self._note_worker(key, self._workers.values_by_key.get(key))
        return Ok(dict(self._info_by_id))

    def configuration(
        self, wait_ms: int
    ) -> Result[Configuration | None, Failure]:
        """Return a newer configuration, or None after waiting for one."""
        changed = self._operator.refresh(wait_ms)
        if isinstance(changed, Err):
            return changed
        value = self._operator.values_by_key.get(CONFIGURATION_KEY)
        if CONFIGURATION_KEY not in changed.ok_value or value is None:
            return Ok(None)
        try:
            return Ok(configuration_from(orjson.loads(value)))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_event("configuration-unreadable", error=error)
            return Ok(None)

    def _note_worker(self, worker_id: str, value: bytes | None) -> None:
        if value is None:
            self._info_by_id.pop(worker_id, None)
            self._rejected.discard(worker_id)
            return
        try:
            info = _worker_from(worker_id, orjson.loads(value))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._info_by_id.pop(worker_id, None)
            if worker_id not in self._rejected:
                self._rejected.add(worker_id)
                reason = repr(error)
                log_event("worker-unreadable", worker=worker_id, reason=reason)
            return
        self._rejected.discard(worker_id)
        self._info_by_id[worker_id] = info


def _worker_from(worker_id: str, entry: Any) -> WorkerInfo:
    state = entry["state"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    labels = [_text(label) for label in entry.get("labels") or ()]
    racks = [label for label in labels if label.startswith(RACK_PREFIX)]
    return WorkerInfo(
        worker_id,
        _text(entry["service"]),
        _text(entry["address"]),
        _text(entry["zone"]),
        racks[0] if racks else "",
        frozenset(labels),
        resources_from(entry["capacity"]),
        state == "draining",
        int(entry.get("drain-remaining-ms") or 0),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"text expected, found {value!r}")
    return value
