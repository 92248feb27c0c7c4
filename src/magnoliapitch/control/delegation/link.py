"""Calls of the leader to one agent."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.guard import guarded
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.delegation.messages import CommandBatch
    from magnoliapitch.control.delegation.service import AgentClient
    from magnoliapitch.control.delegation.session import AgentSession


ANSWER_TIMEOUT_MS = 600
EVENT_WAIT_MS = 200
COMMAND_WAIT_MS = 200
RETRY_DELAY_MS = 50
# An agent without an answer for this time is given up. It is longer than a
# pause in which a busy machine answers nobody.
LOST_AFTER_MS = 1_500
MIN_CALL_INTERVAL_MS = 10.0
# Answers after which an agent is of no use to this session.
FINAL_CODES = (FailureCode.FENCED, FailureCode.SEQUENCE)
# Processor time of one call to an agent with its answer.
CALL_DURATION_MS = 0.5
# Share of the processor that calls to all agents may take.
MAX_CALL_PROCESSOR_SHARE = 0.25
# One thread sends commands, the other one waits for events.
THREADS_PER_AGENT = 2


def call_interval_ms(agent_count: int, cores: float) -> float:
    """Return the shortest time between two calls of one thread to an agent.

    Commands and events accumulate meanwhile, so that calls take a bounded
    share of the leader's processor however many workers there are.

    :param cores: processor cores of the leader.
    """
    calls_ms = agent_count * THREADS_PER_AGENT * CALL_DURATION_MS
    return max(
        MIN_CALL_INTERVAL_MS, calls_ms / (MAX_CALL_PROCESSOR_SHARE * cores)
    )


class AgentLink:
    """Threads that exchange commands and events with one agent.

    :param address: ``IP:PORT`` of the agent's instance.
    :param interval_ms: returns the shortest time between two calls.
    :param on_lost: called once, with the address and the failure, when the
        agent is given up.
    """

    def __init__(
        self,
        address: str,
        session: AgentSession,
        client: AgentClient,
        clock: Clock,
        interval_ms: Callable[[], float],
        on_lost: Callable[[str, Failure], None],
    ) -> None:
        self.address = address
        self.session = session
        self._client = client
        self._clock = clock
        self._interval_ms = interval_ms
        self._on_lost = on_lost
        self._stop_event = threading.Event()
        self._lock = threading.Lock()
        self._answered_ms = clock.now_ms()
        self._is_lost = False

    def start(self) -> None:
        """Start the threads."""
        for name, run in (("send", self._send), ("poll", self._poll)):
            threading.Thread(
                target=run, name=f"agent-{name}-{self.address}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop the threads after the calls that are under way."""
        self._stop_event.set()

    def _send(self) -> None:
        while not self._stop_event.is_set():
            if not self.session.wait_for_commands(COMMAND_WAIT_MS):
                continue
            batch = self.session.next_batch()
            while not self._exchange(batch) and not self._stop_event.is_set():
                self._stop_event.wait(RETRY_DELAY_MS / 1000)
            self._stop_event.wait(self._interval_ms() / 1000)

    def _poll(self) -> None:
        while not self._stop_event.is_set():
            pause_ms = self._interval_ms()
            idle_ms = self._clock.now_ms() - self._answered_ms
            if idle_ms < pause_ms:
                # A batch of commands has just returned the events.
                pause_ms -= idle_ms
            elif self.session.is_open:
                batch = self.session.request_for_events(EVENT_WAIT_MS)
                if not self._exchange(batch):
                    pause_ms = RETRY_DELAY_MS
            self._stop_event.wait(pause_ms / 1000)

    def _exchange(self, batch: CommandBatch) -> bool:
        """Make one call; return whether it was answered."""
        outcome = guarded("agent", lambda: self._exchange_once(batch))
        now_ms = self._clock.now_ms()
        if isinstance(outcome, Err):
            self._record_failure(outcome.err_value, now_ms)
            return False
        with self._lock:
            self._answered_ms = now_ms
        return True

    def _exchange_once(self, batch: CommandBatch) -> Result[None, Failure]:
        sent_ms = self._clock.now_ms()
        outcome = self._client.exchange(self.address, batch, ANSWER_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return outcome
        self.session.handle_reply(
            batch, outcome.ok_value, sent_ms, self._clock.now_ms()
        )
        return Ok(None)

    def _record_failure(self, failure: Failure, now_ms: int) -> None:
        is_final = failure.code in FINAL_CODES
        with self._lock:
            silent_ms = now_ms - self._answered_ms
            if self._is_lost or not (is_final or silent_ms > LOST_AFTER_MS):
                return
            self._is_lost = True
        if not self._stop_event.is_set():
            self.stop()
            self._on_lost(self.address, failure)
