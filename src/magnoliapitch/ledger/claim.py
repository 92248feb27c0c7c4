"""Claims of leadership and the records that store them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.ledger.elapsed_clock import LeaderClock
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import LEASE_BASIS_KEY
from magnoliapitch.ledger.records import TOKENS_PER_EPOCH
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_clock
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    import random


# All leaders append as the same producer, so that the store refuses a former
# leader once it has seen a higher epoch.
PRODUCER = "leader"
# A claim's epoch is the next multiple of this step plus a random number below
# it, so that claims made at the same time get different epochs. It leaves room
# for the fencing tokens of the claim.
EPOCH_STEP = 1 << 20


class Claim(NamedTuple):
    """A claim of leadership that was stored.

    :param sent_ms: time at which the call that stored it was sent.
    :param clock: the shared clock, from the claim on.
    """

    record: LeaderRecord
    sent_ms: int
    clock: LeaderClock


def next_epoch(last_epoch: int, randomness: random.Random) -> int:
    """Return an epoch for a claim that follows an epoch."""
    base_epoch = (last_epoch // EPOCH_STEP + 1) * EPOCH_STEP
    return base_epoch + randomness.randrange(0, EPOCH_STEP, TOKENS_PER_EPOCH)


def claim_records(
    record: LeaderRecord, clock: LeaderClock, now_ms: int
) -> list[KeyedRecord]:
    """Return the records of the stream of states that make a claim.

    :param clock: the shared clock, from the claim on.
    """
    return [
        KeyedRecord(LEADER_KEY, encode_leader(record)),
        KeyedRecord(CLOCK_KEY, encode_clock(clock.stamp(now_ms))),
        KeyedRecord(LEASE_BASIS_KEY, encode_clock(clock.claim_basis(now_ms))),
    ]
