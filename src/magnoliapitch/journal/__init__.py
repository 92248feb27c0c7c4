"""Replicated state machine over the platform's append-only log.

Every entry instance applies the same records in the same order, so that
instances at the same offset hold the same state.
"""

from __future__ import annotations

from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.journal import Journal
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import apply_record


__all__ = [
    "ClusterState",
    "RecordEntryOutcome",
    "Journal",
    "apply_record",
    "decode_record",
    "encode_record",
]
