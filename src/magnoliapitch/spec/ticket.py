"""Specification of requests that run at most once.

Two instances serve attempts for one name. A ticket names instance 0 from
the beginning; a key is given to the instance whose intent is first in the
log. Appends may take effect late, answers get lost and instances die.
Mutants leave out one guard each.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator


INSTANCES = (0, 1)
ATTEMPTS = 3


class Mutant(StrEnum):
    """A guard that is left out."""

    NO_HOLDER_CHECK = "no-holder-check"
    USED_FORGOTTEN = "used-forgotten"
    DISPATCH_BEFORE_FOLD = "dispatch-before-fold"
    DISPATCH_ON_FOLD = "dispatch-on-fold"
    RUN_WHEN_HOLDER_GONE = "run-when-holder-gone"


class Phase(StrEnum):
    """What an instance does for its current attempt."""

    IDLE = "idle"
    WAITING = "waiting"
    READY = "ready"
    RUNNING = "running"


class Instance(NamedTuple):
    """State of one incarnation.

    :param folded: intents of the log that it has read.
    :param is_appending: whether an append may still take effect.
    :param is_used: whether it has dispatched the name.
    :param gave_up: whether it told an attempt ``not_run``.
    """

    is_alive: bool = True
    phase: Phase = Phase.IDLE
    folded: int = 0
    is_appending: bool = False
    is_used: bool = False
    gave_up: bool = False


class State(NamedTuple):
    """State of the system.

    :param log: instances in the order of their intents.
    :param is_wrong: whether an attempt ran that was told ``not_run``.
    """

    instances: tuple[Instance, ...]
    log: tuple[int, ...] = ()
    attempts: int = ATTEMPTS
    runs: int = 0
    is_wrong: bool = False

    def change(self, number: int, **fields: Any) -> State:
        """Return the state with fields of one instance replaced."""
        changed = list(self.instances)
        changed[number] = changed[number]._replace(**fields)
        return self._replace(instances=tuple(changed))


def ticket_protocol(
    *, is_key: bool = False, mutant: Mutant | None = None
) -> Any:
    """Return the protocol for a ticket or a key.

    :raises ImportError: if the optional extra ``check`` is missing.
    """
    from minicheck import Protocol

    instance = Instance(folded=0 if is_key else 1)
    initial = State((instance, instance), () if is_key else (0,))
    return Protocol(
        name="key" if is_key else "ticket",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "at most one run": lambda state: state["runs"] <= 1,
            "no run after not_run": lambda state: not state["is_wrong"],
        },
    )


def _steps(state: State, mutant: Mutant | None) -> Iterator[tuple[str, State]]:
    for number in INSTANCES:
        if state.instances[number].is_appending:
            taken = state.change(number, is_appending=False)
            yield f"append {number}", taken._replace(log=(*state.log, number))
        if state.instances[number].is_alive:
            yield from _alive_steps(state, number, mutant)


def _alive_steps(
    state: State, number: int, mutant: Mutant | None
) -> Iterator[tuple[str, State]]:
    instance = state.instances[number]
    yield f"die {number}", state.change(number, is_alive=False)
    if instance.folded < len(state.log):
        yield f"fold {number}", _fold(state, number, mutant)
    if instance.phase is Phase.IDLE and state.attempts:
        started = state._replace(attempts=state.attempts - 1)
        yield f"attempt {number}", _begin(started, number, mutant)
    if instance.phase is Phase.WAITING:
        idle = state.change(number, phase=Phase.IDLE)
        yield f"give up {number}", idle.change(number, gave_up=True)
        if instance.folded:
            yield f"proceed {number}", _route(idle, number, mutant)
        if mutant is Mutant.DISPATCH_BEFORE_FOLD:
            yield f"hurry {number}", state.change(number, phase=Phase.READY)
    if instance.phase is Phase.READY:
        yield f"dispatch {number}", _dispatch(state, number, mutant)
    if instance.phase is Phase.RUNNING:
        yield (
            f"answer or lose {number}",
            state.change(number, phase=Phase.IDLE),
        )


def _begin(state: State, number: int, mutant: Mutant | None) -> State:
    if state.instances[number].folded:
        return _route(state, number, mutant)
    return state.change(number, phase=Phase.WAITING, is_appending=True)


def _route(state: State, number: int, mutant: Mutant | None) -> State:
    holder = state.log[0]
    if mutant is Mutant.NO_HOLDER_CHECK:
        holder = number
    if not state.instances[holder].is_alive:
        if mutant is Mutant.RUN_WHEN_HOLDER_GONE:
            return state.change(number, phase=Phase.READY)
        return state
    if state.instances[holder].phase is not Phase.IDLE:
        return state
    return state.change(holder, phase=Phase.READY)


def _fold(state: State, number: int, mutant: Mutant | None) -> State:
    instance = state.instances[number]
    folded = state.change(number, folded=instance.folded + 1)
    is_late = instance.gave_up and instance.phase is Phase.IDLE
    if (
        mutant is Mutant.DISPATCH_ON_FOLD
        and is_late
        and state.log[0] == number
        and not instance.is_used
    ):
        return _dispatch(folded, number, mutant)._replace(is_wrong=True)
    return folded


def _dispatch(state: State, number: int, mutant: Mutant | None) -> State:
    if state.instances[number].is_used:
        return state.change(number, phase=Phase.IDLE)
    is_used = mutant is not Mutant.USED_FORGOTTEN
    running = state.change(number, phase=Phase.RUNNING, is_used=is_used)
    return running._replace(runs=state.runs + 1)
