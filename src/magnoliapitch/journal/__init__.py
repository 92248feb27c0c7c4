"""The replicated state: a deterministic fold over the platform's log."""

from __future__ import annotations

from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import apply_record
from magnoliapitch.journal.journal import Journal
from magnoliapitch.journal.state import ClusterState


__all__ = [
    "ClusterState",
    "EntryOutcome",
    "Journal",
    "apply_record",
    "decode_record",
    "encode_record",
]
