"""Encoding of snapshots of the state, whole and split into log records.

The encoding keeps the order of dictionaries. It follows the order of the
log, is the same on every instance, and jobs are scheduled in it.
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


STATE_FORMAT_VERSION = 1
PART_MAX_BYTES = 36_000
STATE_MAX_BYTES = 1 << 28
COMPRESSION_LEVEL = 1

_ADAPTER = TypeAdapter(ClusterState)


class LoadedSnapshot(NamedTuple):
    """State and the offset at which it was encoded."""

    offset: int
    state: ClusterState


def encode_state(state: ClusterState) -> bytes:
    """Encode a state as JSON; equal states give equal bytes."""
    return _ADAPTER.dump_json(state)


def state_digest(state: ClusterState) -> str:
    """Return the digest of an encoded state, to compare instances."""
    return xxhash.xxh3_128_hexdigest(encode_state(state))


def take_snapshot(state: ClusterState) -> StateSnapshot:
    """Return a compressed snapshot of a state with its digest."""
    header = orjson.dumps({"fold": STATE_FORMAT_VERSION}) + b"\n"
    data = zlib.compress(header + encode_state(state), COMPRESSION_LEVEL)
    return StateSnapshot(
        state.next_offset, xxhash.xxh3_128_hexdigest(data), data
    )


def load_snapshot(snapshot: StateSnapshot) -> ClusterState | None:
    """Decode a snapshot.

    :return: ``None`` if the snapshot is damaged, has another format
        version, or its offset is not that of its state.
    """
    if xxhash.xxh3_128_hexdigest(snapshot.state) != snapshot.digest:
        return None
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(snapshot.state, STATE_MAX_BYTES)
        header, _, encoded = data.partition(b"\n")
        if orjson.loads(header) != {"fold": STATE_FORMAT_VERSION}:
            return None
        state = _ADAPTER.validate_json(encoded)
    except (zlib.error, orjson.JSONDecodeError, ValidationError):
        return None
    return state if state.next_offset == snapshot.offset else None


def split_snapshot(snapshot: StateSnapshot) -> tuple[SnapshotPart, ...]:
    """Split a snapshot into record entries of a bounded size."""
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
    """Assembles snapshots from parts that are read from the log.

    :ivar complete: snapshots with all parts and the right digest, in the
        order in which they became complete.
    """

    def __init__(self) -> None:
        self.complete: list[StateSnapshot] = []
        self._parts_by_key: dict[tuple[int, str], list[SnapshotPart]] = {}

    def add(self, record_offset: int, part: SnapshotPart) -> None:
        """Add one part; parts must be added in the order of the log.

        A part is ignored if its snapshot is later than the record that
        holds it, or if it does not follow the previous part.

        :param record_offset: offset of the record that holds the part.
        """
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
