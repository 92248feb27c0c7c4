"""Model of requests that run at most once, for model checking.

A caller makes several attempts at one request through two instances. All
attempts carry the same name, which is a ticket or an idempotency key. Only
the holder of the name may run the request. The holder of a ticket is instance
0 from the beginning; the holder of a key is the instance whose intent is
first in the log. Appends may take effect late, answers may get lost and
instances may die. Mutants leave out one guard each.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator


INSTANCE_INDEXES = (0, 1)
MAX_ATTEMPTS = 3


class Mutant(StrEnum):
    """A variant of the protocol that leaves out one guard.

    NO_HOLDER_CHECK: an instance runs the request without being the holder.
    DISPATCH_FORGOTTEN: an instance forgets that it has dispatched the request.
    DISPATCH_BEFORE_APPLYING: an instance dispatches before it has applied an
    intent from the log. DISPATCH_ON_APPLYING: an instance dispatches when it
    applies its intent, though it has already answered ``not_run``.
    RUN_WHEN_HOLDER_GONE: an instance runs the request if the holder is dead.
    """

    NO_HOLDER_CHECK = "no-holder-check"
    DISPATCH_FORGOTTEN = "used-forgotten"
    DISPATCH_BEFORE_APPLYING = "dispatch-before-fold"
    DISPATCH_ON_APPLYING = "dispatch-on-fold"
    RUN_WHEN_HOLDER_GONE = "run-when-holder-gone"


class Phase(StrEnum):
    """Progress of an instance's current attempt.

    IDLE: no attempt. WAITING: the instance's intent is not yet read from the
    log. READY: the request may be dispatched. RUNNING: it was dispatched.
    """

    IDLE = "idle"
    WAITING = "waiting"
    READY = "ready"
    RUNNING = "running"


class Instance(NamedTuple):
    """State of one instance.

    An instance that died does not come back.

    :param applied_count: number of intents that it has read from the log and
        applied.
    :param has_pending_append: whether its append may still take effect.
    :param has_dispatched: whether it has dispatched the request.
    :param answered_not_run: whether it answered an attempt with ``not_run``.
    """

    is_alive: bool = True
    phase: Phase = Phase.IDLE
    applied_count: int = 0
    has_pending_append: bool = False
    has_dispatched: bool = False
    answered_not_run: bool = False


class State(NamedTuple):
    """State of the whole model.

    :param log: indexes of the instances, in the order of their intents.
    :param attempts: attempts that the caller may still make.
    :param runs: number of times the request was dispatched.
    :param is_wrong: whether an attempt ran that was answered ``not_run``.
    """

    instances: tuple[Instance, ...]
    log: tuple[int, ...] = ()
    attempts: int = MAX_ATTEMPTS
    runs: int = 0
    is_wrong: bool = False

    def with_instance(self, index: int, **fields: Any) -> State:
        """Return the state with fields of one instance replaced."""
        changed = list(self.instances)
        changed[index] = changed[index]._replace(**fields)
        return self._replace(instances=tuple(changed))


def ticket_protocol(
    *, is_key: bool = False, mutant: Mutant | None = None
) -> Any:
    """Return the model in the form that ``minicheck`` takes.

    :param is_key: whether attempts carry an idempotency key, not a ticket.
    :param mutant: guard to leave out, None for the whole protocol.
    :raises ImportError: if the optional extra ``check`` is not installed.
    """
    from minicheck import Protocol

    instance = Instance(applied_count=0 if is_key else 1)
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
    for index in INSTANCE_INDEXES:
        if state.instances[index].has_pending_append:
            appended = state.with_instance(index, has_pending_append=False)
            yield f"append {index}", appended._replace(log=(*state.log, index))
        if state.instances[index].is_alive:
            yield from _live_instance_steps(state, index, mutant)


def _live_instance_steps(
    state: State, index: int, mutant: Mutant | None
) -> Iterator[tuple[str, State]]:
    instance = state.instances[index]
    yield f"die {index}", state.with_instance(index, is_alive=False)
    if instance.applied_count < len(state.log):
        yield f"fold {index}", _apply_next_intent(state, index, mutant)
    if instance.phase is Phase.IDLE and state.attempts:
        started = state._replace(attempts=state.attempts - 1)
        yield f"attempt {index}", _start_attempt(started, index, mutant)
    if instance.phase is Phase.WAITING:
        idle = state.with_instance(index, phase=Phase.IDLE)
        yield (
            f"give up {index}",
            idle.with_instance(index, answered_not_run=True),
        )
        if instance.applied_count:
            yield f"proceed {index}", _route_to_holder(idle, index, mutant)
        if mutant is Mutant.DISPATCH_BEFORE_APPLYING:
            yield (
                f"skip the wait {index}",
                state.with_instance(index, phase=Phase.READY),
            )
    if instance.phase is Phase.READY:
        yield f"dispatch {index}", _dispatch(state, index, mutant)
    if instance.phase is Phase.RUNNING:
        yield (
            f"answer or lose {index}",
            state.with_instance(index, phase=Phase.IDLE),
        )


def _start_attempt(state: State, index: int, mutant: Mutant | None) -> State:
    if state.instances[index].applied_count:
        return _route_to_holder(state, index, mutant)
    return state.with_instance(
        index, phase=Phase.WAITING, has_pending_append=True
    )


def _route_to_holder(state: State, index: int, mutant: Mutant | None) -> State:
    """Make the holder ready to dispatch if it is alive and idle."""
    holder = state.log[0]
    if mutant is Mutant.NO_HOLDER_CHECK:
        holder = index
    if not state.instances[holder].is_alive:
        if mutant is Mutant.RUN_WHEN_HOLDER_GONE:
            return state.with_instance(index, phase=Phase.READY)
        return state
    if state.instances[holder].phase is not Phase.IDLE:
        return state
    return state.with_instance(holder, phase=Phase.READY)


def _apply_next_intent(
    state: State, index: int, mutant: Mutant | None
) -> State:
    instance = state.instances[index]
    applied = state.with_instance(
        index, applied_count=instance.applied_count + 1
    )
    was_given_up = instance.answered_not_run and instance.phase is Phase.IDLE
    if (
        mutant is Mutant.DISPATCH_ON_APPLYING
        and was_given_up
        and state.log[0] == index
        and not instance.has_dispatched
    ):
        return _dispatch(applied, index, mutant)._replace(is_wrong=True)
    return applied


def _dispatch(state: State, index: int, mutant: Mutant | None) -> State:
    """Run the request unless the instance has dispatched it before."""
    if state.instances[index].has_dispatched:
        return state.with_instance(index, phase=Phase.IDLE)
    has_dispatched = mutant is not Mutant.DISPATCH_FORGOTTEN
    running = state.with_instance(
        index, phase=Phase.RUNNING, has_dispatched=has_dispatched
    )
    return running._replace(runs=state.runs + 1)
