"""Moves jobs away from racks whose owners are cut off from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.ownership.hold import silence_ms


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_entry import PendingEntry
    from magnoliapitch.journal.state import Claim
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.claimer import Claimer


CHECK_INTERVAL_MS = 1_000
LOG_FRESH_MS = 2_000
MOVES_PER_STEP = 100


class ZoneMover:
    """Moves jobs of other zones to an owned rack, where the entry allows."""

    def __init__(
        self, zone: str, journal: Journal, claimer: Claimer, clock: Clock
    ) -> None:
        self._zone = zone
        self._journal = journal
        self._claimer = claimer
        self._clock = clock
        self._seen_by_incarnation: dict[str, tuple[int, int]] = {}
        self._pending_by_job: dict[str, PendingEntry] = {}

    def step(self) -> int:
        """Move what may be moved; return milliseconds until the next step."""
        now_ms = self._clock.now_ms()
        owned = self._claimer.owned()
        racks = sorted(filter(self._claimer.is_rack, owned))
        self._pending_by_job = {
            job_id: pending
            for job_id, pending in self._pending_by_job.items()
            if pending.outcome is None
        }
        with self._journal.reading() as state:
            self._note_presence(state, now_ms)
            moves = self._moves(state, racks, now_ms) if racks else []
        read_ms = self._journal.last_caught_up_ms
        if read_ms is not None and now_ms - read_ms <= LOG_FRESH_MS:
            for move in moves:
                pending = self._journal.enqueue(move)
                self._pending_by_job[move.job_id] = pending
        return CHECK_INTERVAL_MS

    def _note_presence(self, state: ClusterState, now_ms: int) -> None:
        seen = {}
        for incarnation, member in state.members_by_incarnation.items():
            known = self._seen_by_incarnation.get(incarnation)
            if known is None or known[0] != member.presence_offset:
                known = (member.presence_offset, now_ms)
            seen[incarnation] = known
        self._seen_by_incarnation = seen

    def _moves(
        self, state: ClusterState, racks: list[str], now_ms: int
    ) -> list[JobMove]:
        silent_by_unit = {
            unit: self._silent_ms(claim, now_ms)
            for unit, claim in state.claims_by_unit.items()
            if claim.zone != self._zone
        }
        moves: list[JobMove] = []
        if not any(silent_by_unit.values()):
            return moves
        for job_id, job in state.jobs_by_id.items():
            silent_ms = silent_by_unit.get(job.unit, 0)
            if job_id in self._pending_by_job or job.is_done:
                continue
            if _may_move(state, job, silent_ms):
                unit = racks[len(moves) % len(racks)]
                epoch = state.claims_by_unit[job.unit].epoch
                moves.append(
                    JobMove(
                        job_id,
                        job.unit,
                        unit,
                        epoch,
                        MoveReason.ZONE_CUT,
                        state.next_offset - 1,
                    )
                )
            if len(moves) == MOVES_PER_STEP:
                break
        return moves

    def _silent_ms(self, claim: Claim, now_ms: int) -> int:
        """Return for how long no owner of a unit has shown its presence."""
        holders = (claim.incarnation, *claim.predecessors)
        return min(
            (
                now_ms - self._seen_by_incarnation[incarnation][1]
                for incarnation in holders
                if incarnation in self._seen_by_incarnation
            ),
            default=0,
        )


def _may_move(state: ClusterState, job: JobRecord, silent_ms: int) -> bool:
    versioned = state.catalogue_by_name.get(job.spec.entry)
    if versioned is None:
        return False
    if versioned.entry.on_zone_cut is not ZoneCutAction.MOVE:
        return False
    return silent_ms > silence_ms(versioned.entry)
