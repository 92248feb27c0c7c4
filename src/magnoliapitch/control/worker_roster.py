"""The workers that a leader may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.log_fields import run_fields
from magnoliapitch.control.unproven_losses import UnprovenLosses
from magnoliapitch.control.unreported_losses import UnreportedLoss
from magnoliapitch.control.unreported_losses import UnreportedLosses
from magnoliapitch.control.unusable_cause import UnusableCause
from magnoliapitch.event import log_event
from magnoliapitch.planner.evacuation import evacuate_services
from magnoliapitch.planner.worker_loss import count_crash
from magnoliapitch.planner.worker_loss import move_runs
from magnoliapitch.planner.worker_loss import note_silence
from magnoliapitch.planner.worker_loss import suspect_runs
from magnoliapitch.workload.worker import Incarnation
from magnoliapitch.workload.worker import incarnations_by_name


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.reachability import WorkerReachability
    from magnoliapitch.control.reports import ReportApplier
    from magnoliapitch.control.worker_tokens import WorkerTokens
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.planner.worker_loss import LostRun
    from magnoliapitch.workload.run import WorkerReport
    from magnoliapitch.workload.worker import WorkerInfo


# Interval at which it is checked which workers are usable.
CHECK_INTERVAL_MS = 100


class WorkerRoster:
    """Adds listed workers to the scheduler's state and removes lost ones.

    :ivar info_by_id: the platform's newest list, without the workers that
        were removed since; the same mapping for the whole leadership.
    """

    def __init__(
        self,
        state: SchedulerState,
        planner: Planner,
        effects: Effects,
        reachability: WorkerReachability,
        report_applier: ReportApplier,
        tokens: WorkerTokens,
    ) -> None:
        self.info_by_id: dict[str, WorkerInfo] = {}
        self._state = state
        self._planner = planner
        self._effects = effects
        self._reachability = reachability
        self._report_applier = report_applier
        self._tokens = tokens
        self._restarted_ids: set[str] = set()
        self._unreported_losses = UnreportedLosses()
        self._unproven_losses = UnprovenLosses(state)
        self._checked_ms: int | None = None
        self._has_list = False
        self._silent_worker_ids: set[str] = set()

    def update(
        self, info_by_id: Mapping[str, WorkerInfo], now_ms: int
    ) -> None:
        """Replace the list; start renewing the leases of new workers.

        Workers that have restarted take the place of their former
        incarnations.
        """
        self._has_list = True
        known_ids = list(self._state.workers_by_id)
        self.info_by_id.clear()
        self.info_by_id.update(_without_former(info_by_id, known_ids))
        self._add_listed(now_ms)
        listed_by_name = incarnations_by_name(self.info_by_id)
        for former in map(Incarnation.from_worker_id, known_ids):
            current = listed_by_name.get(former.name)
            if current is not None and current != former:
                self._replace(former, current, now_ms)
        proven = self._unproven_losses.take_proven(self.info_by_id, now_ms)
        for worker_id, lost in proven.items():
            self._count_crash(worker_id, lost)

    def _add_listed(self, now_ms: int) -> None:
        for worker_id, info in self.info_by_id.items():
            known = self._state.workers_by_id.get(worker_id)
            old_info = known.info if known is not None else None
            if old_info == info:
                continue
            self._state.update_worker(info)
            if old_info is None:
                self._reachability.record_called(worker_id, now_ms)
                self._tokens.record_listed(worker_id)
                token = self._tokens.token(worker_id)
                self._effects.start_lease_renewal(info, token)
            was_draining = old_info is not None and old_info.is_draining
            if info.is_draining and not was_draining:
                log_event(
                    "worker-draining", worker=worker_id, runs=_run_count(known)
                )
                evacuate_services(self._state, worker_id)

    def _replace(
        self, former: Incarnation, current: Incarnation, now_ms: int
    ) -> None:
        """Put the listed incarnation of a worker in place of a former one."""
        worker = self._state.workers_by_id[former.worker_id]
        log_event(
            "worker-restarted",
            worker=current.worker_id,
            former=former.worker_id,
            lost_runs=len(worker.runs),
        )
        _log_lost_runs(worker, "restarted", now_ms)
        self._effects.stop_lease_renewal(former.worker_id)
        lost = suspect_runs(worker, now_ms)
        move_runs(self._state, former.worker_id, current.worker_id)
        self._count_unreported(former.worker_id)
        if current.has_followed(former):
            self._unreported_losses.add(
                current.worker_id,
                UnreportedLoss(former.worker_id, tuple(lost)),
            )
        self._forget(former.worker_id)
        self._reachability.record_restart(current.worker_id, now_ms)

    def _count_unreported(
        self, worker_id: str, report: WorkerReport | None = None
    ) -> None:
        """Count the crash of a former incarnation under its runs.

        :param report: report of the incarnation that has followed, if any.
        """
        loss = self._unreported_losses.take(worker_id, report)
        if loss is not None:
            self._count_crash(loss.former_id, loss.lost)

    def _count_crash(self, worker_id: str, lost: Sequence[LostRun]) -> None:
        count_crash(self._state, lost)
        _log_suspects(worker_id, lost)

    def record_report(self, worker_id: str, report: WorkerReport) -> None:
        """Record that a worker answers, so that it has not ended."""
        self._silent_worker_ids.discard(worker_id)
        worker = self._state.workers_by_id[worker_id]
        worker.runs_lost_at_ms = None
        worker.silent_since_ms = None
        self._unproven_losses.record_answer(worker_id)
        self._count_unreported(worker_id, report)

    def record_unanswered_renewal(self, worker_id: str, now_ms: int) -> None:
        """Record a renewal that was not answered.

        What the runs of a worker that falls silent wait for is stored at
        once, since this leader may be lost as well.
        """
        self._reachability.record_unanswered_renewal(worker_id)
        worker = self._state.workers_by_id.get(worker_id)
        if worker is not None:
            self._record_silence(worker, now_ms)

    def record_restart(self, worker_id: str) -> None:
        """Record that the next incarnation, not listed yet, has answered."""
        self._restarted_ids.add(worker_id)

    def is_current(self, worker_id: str) -> bool:
        """Return whether a worker is used and has not restarted so far."""
        return (
            worker_id in self._state.workers_by_id
            and worker_id not in self._restarted_ids
        )

    def record_grantable(self, worker_ids: Iterable[str], now_ms: int) -> None:
        """Use workers at once that may be granted leases again."""
        for worker_id in worker_ids:
            worker = self._state.workers_by_id.get(worker_id)
            if worker is not None:
                worker.is_usable = self._is_usable(worker_id, now_ms)

    def check(self, now_ms: int) -> None:
        """Update which workers are usable; end runs of expired leases.

        It does nothing if that was done a moment ago, since there are many
        more planning rounds than changes.
        """
        if (
            self._checked_ms is not None
            and now_ms - self._checked_ms < CHECK_INTERVAL_MS
        ):
            return
        self._checked_ms = now_ms
        for worker in list(self._state.workers_by_id.values()):
            worker_id = worker.worker_id
            worker.is_usable = self._is_usable(worker_id, now_ms)
            worker.runs_lost_at_ms = None
            if not self._reachability.is_reachable(worker_id, now_ms):
                self._record_silence(worker, now_ms)
                self._lose_runs_if_leases_expired(worker, now_ms)

    def _is_usable(self, worker_id: str, now_ms: int) -> bool:
        return self._call_cause(worker_id, now_ms) is None

    def unusable_cause(
        self, worker: TrackedWorker, now_ms: int
    ) -> UnusableCause | None:
        """Return the first cause for which a worker takes no new runs."""
        cause = self._call_cause(worker.worker_id, now_ms)
        if cause is None and worker.is_leaving:
            return UnusableCause.LEAVING
        if cause is None and worker.unknown_run_count:
            return UnusableCause.UNKNOWN_RUNS
        return cause

    def _call_cause(self, worker_id: str, now_ms: int) -> UnusableCause | None:
        if worker_id not in self.info_by_id:
            return UnusableCause.UNLISTED
        if not self._reachability.is_reachable(worker_id, now_ms):
            return UnusableCause.SILENT
        if not self._reachability.may_grant(worker_id):
            return UnusableCause.LEASE_END_STORED
        if self._planner.worker_backoff.is_avoided(worker_id, now_ms):
            return UnusableCause.AVOIDED
        return None

    def _record_silence(self, worker: TrackedWorker, now_ms: int) -> None:
        """Log and store until when the runs of a silent worker wait."""
        worker_id = worker.worker_id
        if worker_id in self._silent_worker_ids or not worker.runs:
            return
        if not self._has_list or self._reachability.is_answering(worker_id):
            return
        is_listed = worker_id in self.info_by_id
        if is_listed and not self._reachability.is_silent(worker_id, now_ms):
            return
        self._silent_worker_ids.add(worker_id)
        lost_ms = self._reachability.lost_ms(worker_id, now_ms)
        worker.silent_since_ms = now_ms - lost_ms
        # The next leader could take one that leaves for one that has crashed.
        address = "" if worker.is_leaving else worker.address
        self._reachability.store_lease_end(worker_id, address)
        log_event(
            "worker-silent",
            worker=worker_id,
            is_listed=is_listed,
            silent_ms=self._reachability.silent_ms(worker_id, now_ms),
            runs=len(worker.runs),
            has_granted=self._reachability.has_granted(worker_id),
            leases_end_in_ms=self._reachability.leases_expired_at_ms(worker_id)
            - now_ms,
        )

    def remove(
        self, worker_id: str, reason: str, now_ms: int, *, has_crashed: bool
    ) -> None:
        """Remove a worker with its runs.

        :param reason: reason that the log gives.
        :param has_crashed: whether the worker has certainly ended; otherwise
            its leases have expired.
        """
        worker = self._state.workers_by_id.get(worker_id)
        if worker is None:
            return
        log_event(
            "worker-gone",
            worker=worker_id,
            reason=reason,
            lost_runs=len(worker.runs),
        )
        _log_lost_runs(worker, reason, now_ms)
        self._effects.stop_lease_renewal(worker_id)
        lost = suspect_runs(worker, now_ms)
        lost_ms = self._reachability.lost_ms(worker_id, now_ms)
        if not has_crashed:
            note_silence(worker, now_ms - lost_ms)
        self._count_unreported(worker_id)
        self._state.remove_worker(worker_id)
        if has_crashed:
            self._count_crash(worker_id, lost)
        else:
            self._unproven_losses.add(
                worker, lost, now_ms, is_listed=False, lost_ms=lost_ms
            )
        self.info_by_id.pop(worker_id, None)
        self._forget(worker_id)

    def _forget(self, worker_id: str) -> None:
        self._silent_worker_ids.discard(worker_id)
        self._restarted_ids.discard(worker_id)
        self._reachability.forget(worker_id)
        self._report_applier.forget(worker_id)
        self._planner.worker_backoff.forget(worker_id)

    def _lose_runs_if_leases_expired(
        self, worker: TrackedWorker, now_ms: int
    ) -> None:
        worker_id = worker.worker_id
        lost_at_ms = self._reachability.leases_expired_at_ms(worker_id)
        if now_ms < lost_at_ms:
            worker.runs_lost_at_ms = lost_at_ms
            return
        if worker_id not in self.info_by_id:
            self.remove(worker_id, "unlisted", now_ms, has_crashed=False)
            return
        _log_lost_runs(worker, "lease-over", now_ms)
        lost = suspect_runs(worker, now_ms)
        lost_ms = self._reachability.lost_ms(worker_id, now_ms)
        note_silence(worker, now_ms - lost_ms)
        self._unproven_losses.add(
            worker, lost, now_ms, is_listed=True, lost_ms=lost_ms
        )
        lost_count = self._state.lose_runs(worker_id)
        self._reachability.discard_lease_end(worker_id)
        if lost_count:
            log_event(
                "worker-lease-over", worker=worker_id, lost_runs=lost_count
            )


def _run_count(worker: TrackedWorker | None) -> int:
    return 0 if worker is None else len(worker.runs)


def _without_former(
    info_by_id: Mapping[str, WorkerInfo], known_ids: Iterable[str]
) -> dict[str, WorkerInfo]:
    """Return the list without incarnations that others have followed.

    A late record of the former one may hide the current one for a moment.
    """
    known_by_name = incarnations_by_name(known_ids)
    return {
        worker_id: info
        for worker_id, info in info_by_id.items()
        if not _is_former(Incarnation.from_worker_id(worker_id), known_by_name)
    }


def _is_former(
    listed: Incarnation, known_by_name: Mapping[str, Incarnation]
) -> bool:
    known = known_by_name.get(listed.name)
    return known is not None and known.has_followed(listed)


def _log_lost_runs(worker: TrackedWorker, cause: str, now_ms: int) -> None:
    """Log each run that is lost with its worker.

    :param cause: how the worker was lost.
    """
    for run in worker.runs:
        log_event(
            "run-lost",
            **run_fields(run.task.key, run.number, worker.worker_id),
            cause=cause,
            may_have_been_ordered=run.may_have_been_ordered,
            age_ms=None if run.started_ms is None else now_ms - run.started_ms,
            is_alone=worker.runs_only(run.task.step.job),
            failures=run.task.used_attempts,
            worker_crashes=run.task.worker_crashes,
            worker_losses=run.task.worker_losses,
        )


def _log_suspects(worker_id: str, lost: Iterable[LostRun]) -> None:
    """Log the tasks that are placed apart from now on, or given up."""
    for lost_run in lost:
        task = lost_run.task
        run = run_fields(task.key, task.runs, worker_id)
        if lost_run.gives_up:
            log_event(
                "task-given-up",
                **run,
                is_alone=lost_run.is_alone,
                worker_crashes=task.worker_crashes,
                proven_crashes=task.proven_crashes,
                worker_losses=task.worker_losses,
            )
        elif task.is_suspect:
            log_event("task-suspected", **run)
