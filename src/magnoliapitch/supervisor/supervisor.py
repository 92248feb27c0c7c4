"""Supervisor that starts, monitors, restarts and stops its children."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.supervisor.child import HasHeartbeat
from magnoliapitch.supervisor.child import HasStateDump
from magnoliapitch.supervisor.restart import RestartPolicy
from magnoliapitch.supervisor.restart import RestartRecord


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.supervisor.child import Child


CHECK_INTERVAL_MS = 500


class Supervisor:
    """Starts children in order, restarts failed ones and stops all.

    Children are stopped in reverse order. A supervisor is a child itself,
    so that supervisors can be nested.

    :param children: children in the order in which they are started.
    :param policy: limits and delays of restarts.
    :param give_up: called once when a child exceeds the restart limit; the
        process should then exit, so that the platform replaces it.
    :ivar has_given_up: whether a child exceeded the restart limit.
    """

    def __init__(
        self,
        name: str,
        children: list[Child],
        clock: Clock,
        policy: RestartPolicy | None = None,
        give_up: Callable[[], None] | None = None,
    ) -> None:
        self.name = name
        self.has_given_up = False
        self._children = children
        self._clock = clock
        self._policy = policy or RestartPolicy()
        self._give_up = give_up or _do_nothing
        self._stop_event = threading.Event()
        self._thread: threading.Thread | None = None
        self._started: list[Child] = []
        self._records_by_child = {
            child.name: RestartRecord(self._policy) for child in children
        }

    def start(self) -> None:
        """Start every child, then monitor them in a new thread.

        :raises StartError: if a child cannot be started; children that
            were started before it are stopped again.
        """
        self._stop_event = threading.Event()
        try:
            for child in self._children:
                child.start()
                self._started.append(child)
        except Exception:
            self._stop_children()
            raise
        self._thread = threading.Thread(
            target=self._monitor, name=f"{self.name}-watch", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop monitoring, then stop the children in reverse order."""
        self._stop_event.set()
        thread = self._thread
        if thread is not None and thread is not threading.current_thread():
            thread.join()
        self._stop_children()

    def is_alive(self) -> bool:
        """Return whether the supervisor is monitoring its children."""
        return self._thread is not None and self._thread.is_alive()

    def check_children(self) -> None:
        """Restart failed children after their backoff; detect hung ones."""
        for child in self._children:
            if self.has_given_up:
                return
            record = self._records_by_child[child.name]
            if child.is_alive():
                self._check_heartbeat(child, record)
            elif record.restart_due_ms is None:
                self._record_failure(child, record)
            elif record.restart_due_ms <= self._clock.now_ms():
                self._restart(child, record)

    def hung_children(self) -> tuple[str, ...]:
        """Return the names of hung children, including nested ones."""
        names: list[str] = []
        for child in self._children:
            if isinstance(child, Supervisor):
                names += child.hung_children()
            elif self._records_by_child[child.name].is_hung:
                names.append(child.name)
        return tuple(names)

    def dump(self) -> dict[str, object]:
        """Return the state of every child by name."""
        return {
            child.name: self._dump_child(child) for child in self._children
        }

    def _monitor(self) -> None:
        while not self._clock.wait(self._stop_event, CHECK_INTERVAL_MS):
            self.check_children()

    def _check_heartbeat(self, child: Child, record: RestartRecord) -> None:
        if not isinstance(child, HasHeartbeat):
            return
        age_ms = child.heartbeat_age_ms()
        is_hung = age_ms > self._policy.hung_after_ms
        if is_hung and not record.is_hung:
            log_event("child-hung", child=child.name, age_ms=age_ms)
        record.is_hung = is_hung

    def _record_failure(self, child: Child, record: RestartRecord) -> None:
        if record.record_failure(self._clock.now_ms()):
            return
        self.has_given_up = True
        log_event(
            "restart-limit-reached",
            child=child.name,
            limit=self._policy.max_restarts,
            window_ms=self._policy.window_ms,
        )
        self._give_up()

    def _restart(self, child: Child, record: RestartRecord) -> None:
        try:
            child.start()
        except Exception as error:
            log_event("child-failed", child=child.name, error=error)
            record.restart_due_ms = None
            return
        record.record_restart()
        log_event(
            "child-restarted", child=child.name, count=record.restart_count
        )

    def _stop_children(self) -> None:
        while self._started:
            child = self._started.pop()
            try:
                child.stop()
            except Exception as error:
                log_event("stop-failed", child=child.name, error=error)

    def _dump_child(self, child: Child) -> dict[str, object]:
        record = self._records_by_child[child.name]
        dump: dict[str, object] = {
            "alive": child.is_alive(),
            "restarts": record.restart_count,
        }
        if isinstance(child, HasHeartbeat):
            dump["heartbeat_age_ms"] = child.heartbeat_age_ms()
            dump["hung"] = record.is_hung
        if isinstance(child, HasStateDump):
            dump["children"] = child.dump()
        return dump


def _do_nothing() -> None:
    """Do nothing."""
