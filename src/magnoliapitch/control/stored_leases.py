"""Ends of the leases of silent workers, stored for the next leaders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.ledger.records import LEASE_PREFIX
from magnoliapitch.ledger.records import encode_lease_end
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliapitch.ledger.elapsed_clock import LeaderClock
    from magnoliapitch.ledger.elapsed_clock import LeaseEnd
    from magnoliapitch.ledger.state_table import StateTable


class StoredLeases:
    """When the leases of workers that do not answer have certainly expired.

    The next leader relies on a stored end, so the worker is granted no lease
    until the deletion of its record is stored.

    :param clock: the shared clock as this leader continues it.
    :ivar deleted_in_commit: workers whose end the commit under way deletes.
    """

    def __init__(self, clock: LeaderClock, state_table: StateTable) -> None:
        self._clock = clock
        # What the store has, or may have once a commit under way is stored.
        self._stored_by_worker = dict(state_table.lease_end_by_worker)
        self._address_by_worker = {
            worker_id: end.address
            for worker_id, end in self._stored_by_worker.items()
        }
        self._inherited_by_worker = {
            worker_id: end
            for worker_id, end in self._stored_by_worker.items()
            if clock.knows(end)
        }
        self._wanted_by_worker = dict(self._inherited_by_worker)
        self.deleted_in_commit: Collection[str] = ()

    @property
    def has_changes(self) -> bool:
        """Return whether there is something to store."""
        return self._wanted_by_worker != self._stored_by_worker

    def inherited_end_ms(self, worker_id: str) -> int | None:
        """Return the end of a worker's leases that a former leader stored.

        :return: time in ms by this instance's clock; None if there is none.
        """
        end = self._inherited_by_worker.get(worker_id)
        return None if end is None else self._clock.local_ms(end.elapsed_ms)

    def address(self, worker_id: str) -> str:
        """Return the address that a former leader stored; empty if none."""
        return self._address_by_worker.get(worker_id, "")

    def may_grant(self, worker_id: str) -> bool:
        """Return whether a worker may be granted a lease."""
        return (
            worker_id not in self._wanted_by_worker
            and worker_id not in self._stored_by_worker
        )

    def put(self, worker_id: str, end_ms: int, address: str = "") -> None:
        """Store the end of a worker's leases; it gets none from now on.

        :param end_ms: time in ms by this instance's clock.
        :param address: address of the worker.
        """
        self._wanted_by_worker[worker_id] = self._clock.lease_end(
            end_ms, address
        )

    def discard(self, worker_id: str) -> None:
        """Delete the end of a worker that answers or has no runs.

        What a former leader stored stays known: it bounds that one's leases.
        """
        self._wanted_by_worker.pop(worker_id, None)

    def keep_only(self, worker_ids: Collection[str]) -> None:
        """Delete the ends of all other workers."""
        for worker_id in self._wanted_by_worker.keys() - set(worker_ids):
            self.discard(worker_id)

    def take_records(self) -> list[KeyedRecord]:
        """Return the records to store with the next batch."""
        wanted, stored = self._wanted_by_worker, self._stored_by_worker
        self.deleted_in_commit = stored.keys() - wanted.keys()
        changed: dict[str, LeaseEnd] = {
            worker_id: end
            for worker_id, end in wanted.items()
            if stored.get(worker_id) != end
        }
        stored.update(changed)
        return [
            *(
                KeyedRecord(LEASE_PREFIX + worker_id, encode_lease_end(end))
                for worker_id, end in changed.items()
            ),
            *(
                KeyedRecord(LEASE_PREFIX + worker_id, b"")
                for worker_id in sorted(self.deleted_in_commit)
            ),
        ]

    def record_stored(self) -> None:
        """Record that the last batch is stored."""
        for worker_id in self.deleted_in_commit:
            self._stored_by_worker.pop(worker_id, None)
        self.deleted_in_commit = ()


__all__ = ["StoredLeases"]
