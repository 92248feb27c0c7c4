"""Applies intents of keyed requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.journal.state_machine import APPLIED
from magnoliapitch.journal.state_machine import EntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected
from magnoliapitch.journal.record import RequestIntent
from magnoliapitch.journal.retention import INTENTS_MAX


if TYPE_CHECKING:
    from magnoliapitch.journal.state import ClusterState


@handles(RequestIntent)
def intend(
    state: ClusterState,
    offset: int,
    intent: RequestIntent,
) -> EntryOutcome:
    """Let the first intent of a key name who executes the request."""
    if intent.key in state.intents_by_key:
        return rejected(f"key {intent.key} is taken")
    if len(state.intents_by_key) >= INTENTS_MAX:
        return rejected(f"{INTENTS_MAX} keys are remembered already")
    state.intents_by_key[intent.key] = intent
    state.intent_offset_by_key[intent.key] = offset
    return APPLIED
