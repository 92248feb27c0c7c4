"""Rounds in which a replay asks the scheduler for decisions."""

from __future__ import annotations

import time

from functools import partial
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.bench.decisions.replay_context import ReplayContext
    from magnoliapitch.decision.interface import Decision


DECISION_INTERVAL_MS = 50
QUEUED_RETRY_INTERVAL_MS = 500
MAX_DECISIONS_PER_ROUND = 10_000


class DecisionRounds:
    """Asks the scheduler for decisions, in the role of the job manager.

    :param carry_out: carries out one decision.
    """

    def __init__(
        self, context: ReplayContext, carry_out: Callable[[Decision], None]
    ) -> None:
        self._scheduler = context.scheduler
        self._recorder = context.recorder
        self._timeline = context.timeline
        self._cpu_meter = context.cpu_meter
        self._carry_out = carry_out
        self._next_round_ms = -1

    def schedule(self, within_ms: int = DECISION_INTERVAL_MS) -> None:
        """Schedule a decision round unless an earlier one is scheduled.

        Rounds lie on multiples of ``DECISION_INTERVAL_MS``.

        :param within_ms: longest wanted delay; less than one interval means
            the next multiple.
        """
        at_ms = (
            self._timeline.now_ms // DECISION_INTERVAL_MS + 1
        ) * DECISION_INTERVAL_MS
        at_ms = max(
            at_ms,
            (self._timeline.now_ms + within_ms)
            // DECISION_INTERVAL_MS
            * DECISION_INTERVAL_MS,
        )
        if self._timeline.now_ms < self._next_round_ms <= at_ms:
            return
        self._next_round_ms = at_ms
        self._timeline.schedule_at(at_ms, partial(self._run, at_ms))

    def _run(self, at_ms: int) -> None:
        if at_ms != self._next_round_ms:
            return
        self._next_round_ms = -1
        for _ in range(MAX_DECISIONS_PER_ROUND):
            if not self._decide():
                break
        if self._scheduler.queued_count():
            self.schedule(QUEUED_RETRY_INTERVAL_MS)

    def _decide(self) -> bool:
        """Ask for decisions once; return whether to ask again at once."""
        started_ns = time.perf_counter_ns()
        with self._cpu_meter:
            decision = self._scheduler.decide(self._timeline.now_ms)
        self._recorder.record_decision(time.perf_counter_ns() - started_ns)
        self._carry_out(decision)
        return decision.has_more
