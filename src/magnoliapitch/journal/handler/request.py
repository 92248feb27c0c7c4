"""Handler of reservations of idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.journal.record import RequestIntent
from magnoliapitch.journal.retention import MAX_INTENTS
from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


if TYPE_CHECKING:
    from magnoliapitch.journal.state import ClusterState


@handles(RequestIntent)
def reserve_key(
    state: ClusterState,
    offset: int,
    intent: RequestIntent,
) -> RecordEntryOutcome:
    """Reserve an idempotency key unless it is already reserved."""
    if intent.key in state.intents_by_key:
        return rejected(f"idempotency key {intent.key} is already reserved")
    if len(state.intents_by_key) >= MAX_INTENTS:
        return rejected(
            f"{MAX_INTENTS} idempotency keys are reserved, which is the "
            "maximum"
        )
    state.intents_by_key[intent.key] = intent
    state.intent_offset_by_key[intent.key] = offset
    return APPLIED
