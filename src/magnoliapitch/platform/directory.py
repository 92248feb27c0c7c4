"""Reader of the platform's list of workers and its configuration.

The platform calls a worker a runner or a server.
"""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import Any

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.mirror import READ_TIMEOUT_MS
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.platform.configuration import decode_configuration
from magnoliapitch.platform.configuration import decode_resources
from magnoliapitch.platform.names import decode_start
from magnoliapitch.workload.worker import Incarnation
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
WORKER_STATES = ("ready", "draining")
_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class PlatformDirectory:
    """Reads workers and configuration from streams that others write.

    Entries that cannot be decoded are logged and left out.
    """

    def __init__(self, streams: KeyedStreams) -> None:
        self._worker_mirror = StreamMirror(streams, WORKER_STREAM)
        self._operator_mirror = StreamMirror(streams, OPERATOR_STREAM)
        self._info_by_name: dict[str, WorkerInfo] = {}
        self._unreadable_names: set[str] = set()
        self._configuration_lock = threading.Lock()
        self._configuration_value = b""
        self._configuration: Configuration | None = None

    def workers(
        self, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[Mapping[str, WorkerInfo], Failure]:
        """Return every worker that is listed when the call is sent.

        :param timeout_ms: how long each call to the store may take.
        :return: the workers by their id.
        """
        changed = self._worker_mirror.refresh(timeout_ms=timeout_ms)
        if isinstance(changed, Err):
            return changed
        for key in changed.ok_value:
            self._update_worker(
                key, self._worker_mirror.values_by_key.get(key)
            )
        return Ok(
            {info.worker_id: info for info in self._info_by_name.values()}
        )

    def configuration(
        self, wait_ms: int, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[Configuration | None, Failure]:
        """Return the newest configuration, or None if there is none to read.

        Can be called from several threads. Each of them gets a configuration
        that another has read.

        :param wait_ms: how long to wait for a new one.
        :param timeout_ms: how long each call may take beyond that.
        """
        changed = self._operator_mirror.refresh(wait_ms, timeout_ms)
        if isinstance(changed, Err):
            return changed
        with self._configuration_lock:
            value = self._operator_mirror.values_by_key.get(CONFIGURATION_KEY)
            if value is None:
                return Ok(None)
            if value != self._configuration_value:
                self._configuration_value = value
                self._configuration = _read_configuration(value)
            return Ok(self._configuration)

    def _update_worker(self, name: str, value: bytes | None) -> None:
        if value is None:
            self._info_by_name.pop(name, None)
            self._unreadable_names.discard(name)
            return
        try:
            info = _decode_worker(name, orjson.loads(value))
        except _DECODE_ERRORS as error:
            self._info_by_name.pop(name, None)
            if name not in self._unreadable_names:
                self._unreadable_names.add(name)
                reason = repr(error)
                log_event("worker-unreadable", worker=name, reason=reason)
            return
        self._unreadable_names.discard(name)
        self._info_by_name[name] = info


def _read_configuration(value: bytes) -> Configuration | None:
    try:
        return decode_configuration(orjson.loads(value))
    except (*_DECODE_ERRORS, OverflowError) as error:
        log_event("configuration-unreadable", error=error)
        return None


def _decode_worker(name: str, entry: Any) -> WorkerInfo:
    state = entry["state"]
    if state not in WORKER_STATES:
        raise ValueError(
            f"unknown worker state {state!r}; allowed are {WORKER_STATES}"
        )
    labels = [_require_text(label) for label in entry.get("labels") or ()]
    racks = [label for label in labels if label.startswith(RACK_PREFIX)]
    return WorkerInfo(
        Incarnation(name, decode_start(entry)).worker_id,
        _require_text(entry["service"]),
        _require_text(entry["address"]),
        _require_text(entry["zone"]),
        racks[0] if racks else "",
        frozenset(labels),
        decode_resources(entry["capacity"]),
        state == "draining",
        int(entry.get("drain-remaining-ms") or 0),
    )


def _require_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, found {value!r}")
    return value
