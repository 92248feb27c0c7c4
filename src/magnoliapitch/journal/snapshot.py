"""Encoded states, whole and in parts that fit into log records.

The order of dictionaries is kept: it is the order of the log, the same on
every instance, and jobs are served in it.
"""

from __future__ import annotations

import base64
import binascii
import zlib

from typing import NamedTuple

import orjson
import xxhash

from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.journal.record import SnapshotPart
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.peer.message import StateSnapshot


FOLD_VERSION = 1
PART_MAX_BYTES = 36_000
STATE_MAX_BYTES = 1 << 28
COMPRESSION_LEVEL = 1

_ADAPTER = TypeAdapter(ClusterState)


class LoadedSnapshot(NamedTuple):
    """A state and the offset at which it was encoded."""

    offset: int
    state: ClusterState


def encode_state(state: ClusterState) -> bytes:
    """Encode a state; equal states give equal bytes."""
    return _ADAPTER.dump_json(state)


def state_digest(state: ClusterState) -> str:
    """Return the digest by which instances compare their states."""
    return xxhash.xxh3_128_hexdigest(encode_state(state))


def take_snapshot(state: ClusterState) -> StateSnapshot:
    """Encode and compress a state together with its digest."""
    head = orjson.dumps({"fold": FOLD_VERSION}) + b"\n"
    data = zlib.compress(head + encode_state(state), COMPRESSION_LEVEL)
    return StateSnapshot(
        state.next_offset, xxhash.xxh3_128_hexdigest(data), data
    )


def load_snapshot(snapshot: StateSnapshot) -> ClusterState | None:
    """Decode a snapshot, or return nothing if it is damaged."""
    if xxhash.xxh3_128_hexdigest(snapshot.state) != snapshot.digest:
        return None
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(snapshot.state, STATE_MAX_BYTES)
        head, _, encoded = data.partition(b"\n")
        if orjson.loads(head) != {"fold": FOLD_VERSION}:
            return None
        state = _ADAPTER.validate_json(encoded)
    except (zlib.error, orjson.JSONDecodeError, ValidationError):
        return None
    return state if state.next_offset == snapshot.offset else None


def split_snapshot(snapshot: StateSnapshot) -> tuple[SnapshotPart, ...]:
    """Return a snapshot as entries of log records."""
    data = snapshot.state
    starts = range(0, len(data), PART_MAX_BYTES)
    return tuple(
        SnapshotPart(
            snapshot.offset,
            snapshot.digest,
            number,
            len(starts),
            base64.b64encode(data[start : start + PART_MAX_BYTES]).decode(),
        )
        for number, start in enumerate(starts)
    )


class SnapshotAssembler:
    """Collects the parts of snapshots that a scan of the log meets.

    :ivar complete: snapshots whose parts and digest are right, in the
        order in which they became complete.
    """

    def __init__(self) -> None:
        self.complete: list[StateSnapshot] = []
        self._parts_by_key: dict[tuple[int, str], list[SnapshotPart]] = {}

    def add(self, record_offset: int, part: SnapshotPart) -> None:
        """Take in one part, in the order of the log."""
        if part.offset > record_offset:
            return
        key = (part.offset, part.digest)
        parts = self._parts_by_key.setdefault(key, [])
        if part.part != len(parts):
            return
        parts.append(part)
        if len(parts) < part.parts:
            return
        snapshot = _join(self._parts_by_key.pop(key))
        if snapshot is not None:
            self.complete.append(snapshot)


def _join(parts: list[SnapshotPart]) -> StateSnapshot | None:
    try:
        data = b"".join(
            base64.b64decode(part.data, validate=True) for part in parts
        )
    except (binascii.Error, ValueError):
        return None
    if xxhash.xxh3_128_hexdigest(data) != parts[0].digest:
        return None
    return StateSnapshot(parts[0].offset, parts[0].digest, data)
