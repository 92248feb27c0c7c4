"""Moves jobs away from racks whose owners are partitioned from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.ownership.claimer import LOG_MAX_AGE_MS
from magnoliapitch.ownership.presence_lease import move_after_silence_ms


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.journal.state import Claim
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.claimer import Claimer


CHECK_INTERVAL_MS = 1_000
MAX_MOVES_PER_STEP = 100


class JobMover:
    """Moves jobs of other zones to owned racks if their entry allows it.

    A job moves when its entry has ``on_zone_cut = move`` and no owner of its
    rack has appended a presence record for long enough.
    """

    def __init__(
        self, zone: str, journal: Journal, claimer: Claimer, clock: Clock
    ) -> None:
        self._zone = zone
        self._journal = journal
        self._claimer = claimer
        self._clock = clock
        # Offset of the member's newest presence record, and local time at
        # which this instance first saw it.
        self._presence_by_incarnation: dict[str, tuple[int, int]] = {}
        self._pending_by_job: dict[str, PendingRecordEntry] = {}

    def step(self) -> int:
        """Append moves of the jobs that may be moved.

        :return: milliseconds until the next call.
        """
        now_ms = self._clock.now_ms()
        owned = self._claimer.owned_claims()
        racks = sorted(filter(self._claimer.is_rack, owned))
        self._pending_by_job = {
            job_id: pending
            for job_id, pending in self._pending_by_job.items()
            if pending.outcome is None
        }
        with self._journal.locked_state() as state:
            self._update_presence(state, now_ms)
            moves = self._plan_moves(state, racks, now_ms) if racks else []
        caught_up_ms = self._journal.last_caught_up_ms
        if (
            caught_up_ms is not None
            and now_ms - caught_up_ms <= LOG_MAX_AGE_MS
        ):
            for move in moves:
                pending = self._journal.enqueue(move)
                self._pending_by_job[move.job_id] = pending
        return CHECK_INTERVAL_MS

    def _update_presence(self, state: ClusterState, now_ms: int) -> None:
        presence_by_incarnation = {}
        for incarnation, member in state.members_by_incarnation.items():
            known = self._presence_by_incarnation.get(incarnation)
            if known is None or known[0] != member.presence_offset:
                known = (member.presence_offset, now_ms)
            presence_by_incarnation[incarnation] = known
        self._presence_by_incarnation = presence_by_incarnation

    def _plan_moves(
        self, state: ClusterState, racks: list[str], now_ms: int
    ) -> list[JobMove]:
        silence_ms_by_unit = {
            unit: self._silence_ms(claim, now_ms)
            for unit, claim in state.claims_by_unit.items()
            if claim.zone != self._zone
        }
        moves: list[JobMove] = []
        if not any(silence_ms_by_unit.values()):
            return moves
        for job_id, job in state.jobs_by_id.items():
            silence_ms = silence_ms_by_unit.get(job.unit, 0)
            if job_id in self._pending_by_job or job.is_done:
                continue
            if _may_move(state, job, silence_ms):
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
            if len(moves) == MAX_MOVES_PER_STEP:
                break
        return moves

    def _silence_ms(self, claim: Claim, now_ms: int) -> int:
        """Return for how long no owner of a unit has appended its presence.

        Owners are the current one and predecessors that have not released
        the unit.

        :return: milliseconds; 0 if no owner is a known member.
        """
        owners = (claim.incarnation, *claim.predecessors)
        return min(
            (
                now_ms - self._presence_by_incarnation[incarnation][1]
                for incarnation in owners
                if incarnation in self._presence_by_incarnation
            ),
            default=0,
        )


def _may_move(state: ClusterState, job: JobRecord, silence_ms: int) -> bool:
    versioned = state.catalogue_by_name.get(job.spec.entry)
    if versioned is None:
        return False
    if versioned.entry.on_zone_cut is not ZoneCutAction.MOVE:
        return False
    return silence_ms > move_after_silence_ms(versioned.entry)
