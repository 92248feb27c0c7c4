"""Model of instances that build their state from the log.

An instance's state machine applies the records of the log in order; the
result is its replicated state. The model covers the state machine, snapshots,
removal of old records, outages of the log and restarts:

- A writer appends numbered batches. The answer to an append may be lost.
- Operators append changes at the same time.
- The oldest records of the log are removed.
- Two instances follow the log, or each other while neither can reach the
  log. Each may restart with an empty state.

docs/design/log-fold.md names the function that implements each step.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any

from magnoliapitch.spec.state_machine_world import INSTANCES
from magnoliapitch.spec.state_machine_world import OPERATOR
from magnoliapitch.spec.state_machine_world import WRITER
from magnoliapitch.spec.state_machine_world import Bounds
from magnoliapitch.spec.state_machine_world import Guards
from magnoliapitch.spec.state_machine_world import Instance
from magnoliapitch.spec.state_machine_world import Record
from magnoliapitch.spec.state_machine_world import ReplicatedState
from magnoliapitch.spec.state_machine_world import World


if TYPE_CHECKING:
    from collections.abc import Iterator


def state_machine_protocol(guards: Guards, bounds: Bounds) -> Any:
    """Return the model in the form that ``minicheck.check_safety`` takes.

    :param guards: checks of the protocol that are switched on.
    :param bounds: limits of the explored state space.
    """
    from minicheck import Protocol

    transitions = _Transitions(guards, bounds)
    return Protocol(
        name="fold",
        candidate=False,
        fields=World._fields,
        initial=World(),
        transitions=transitions.from_state,
        invariants={
            "equal offsets, equal states": lambda world: _states_match_log(
                guards, world
            ),
            "each batch counts once": lambda world: _counts_each_batch_once(
                guards, world
            ),
            "one change replaces a version": lambda world: (
                _replaces_each_version_once(guards, world)
            ),
            "what is served never goes back": _served_state_never_reverts,
        },
    )


class _Transitions:
    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def from_state(self, world: World) -> list[tuple[str, World]]:
        world = World(*world)
        return [
            *self._append_steps(world),
            *self._environment_steps(world),
            *(
                step
                for index in INSTANCES
                for step in self._instance_steps(world, index)
            ),
        ]

    def _append_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if (
            world.is_log_unreachable
            or len(world.log) >= self._bounds.max_records
        ):
            return
        may_form_batch = not (
            world.in_flight and self._guards.sends_one_batch_at_a_time
        )
        if may_form_batch and world.formed_count < self._bounds.max_batches:
            version = world.instances[0].state.version
            batch = Record(WRITER, world.formed_count + 1, version)
            formed = world._replace(
                formed_count=world.formed_count + 1,
                in_flight=(*world.in_flight, batch),
            )
            yield "form batch", formed
        for batch in world.in_flight:
            unconfirmed = tuple(
                item for item in world.in_flight if item != batch
            )
            log = (*world.log, batch)
            yield "append", world._replace(log=log, in_flight=unconfirmed)
            yield "append, answer lost", world._replace(log=log)
        version = world.instances[1].state.version
        change = Record(OPERATOR, 0, version)
        yield "operator appends", world._replace(log=(*world.log, change))

    def _environment_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if world.oldest_offset < len(world.log):
            yield (
                "expire",
                world._replace(oldest_offset=world.oldest_offset + 1),
            )
        if world.is_log_unreachable:
            yield "heal", world._replace(is_log_unreachable=False)
        elif world.log_outage_count < self._bounds.max_log_outages:
            yield (
                "cut",
                world._replace(
                    is_log_unreachable=True,
                    log_outage_count=world.log_outage_count + 1,
                ),
            )

    def _instance_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        if world.is_log_unreachable:
            yield from self._follow_peer_steps(world, index)
        else:
            yield from self._follow_log_steps(world, index)
            yield from self._snapshot_steps(world, index)
        if self._bounds.max_log_outages:
            yield "beat", _deliver_heartbeat(world, index)
        if world.restart_count < self._bounds.max_restarts:
            restarted = _with_instance(world, index, Instance())
            yield (
                "restart",
                restarted._replace(restart_count=world.restart_count + 1),
            )
        if not self._guards.waits_for_peer_offset and not instance.is_serving:
            serving = instance._replace(is_serving=True)
            yield (
                "serve without catching up",
                _with_instance(world, index, serving),
            )

    def _follow_log_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        state = instance.state
        if state.offset < world.oldest_offset:
            for loaded in self._loadable_states(world, state):
                restored = instance._replace(state=loaded)
                yield "load snapshot", _with_instance(world, index, restored)
            return
        if state.offset < len(world.log):
            applied = apply_record(
                self._guards, state, world.log[state.offset]
            )
            updated = instance._replace(state=applied)
            yield "follow", _with_instance(world, index, updated)
        elif not instance.is_serving:
            serving = instance._replace(is_serving=True)
            yield "serve", _with_instance(world, index, serving)

    def _loadable_states(
        self, world: World, state: ReplicatedState
    ) -> Iterator[ReplicatedState]:
        """Yield the states that an instance may load from snapshots."""
        for record in world.log[world.oldest_offset :]:
            if record.snapshot is None:
                continue
            loaded = record.snapshot
            if loaded.offset < world.oldest_offset:
                if self._guards.checks_snapshot_coverage:
                    continue
                loaded = loaded._replace(offset=world.oldest_offset)
            if (
                loaded.offset > state.offset
                or not self._guards.keeps_newer_state
            ):
                yield loaded

    def _snapshot_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        snapshot_count = sum(item.snapshot is not None for item in world.log)
        if (
            instance.is_serving
            and snapshot_count < self._bounds.max_snapshots
            and len(world.log) < self._bounds.max_records
        ):
            record = Record(WRITER, 0, 0, instance.state)
            yield "snapshot", world._replace(log=(*world.log, record))

    def _follow_peer_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        peer = world.instances[1 - index]
        is_ahead = peer.state.offset > instance.state.offset
        if peer.is_serving and (
            is_ahead or not self._guards.keeps_newer_state
        ):
            updated = instance._replace(state=peer.state)
            if updated != instance:
                yield (
                    "take peer's state",
                    _with_instance(world, index, updated),
                )
        required_offset = max(peer.highest_known_offset, peer.state.offset)
        is_caught_up = instance.state.offset >= required_offset
        if peer.is_serving and is_caught_up and not instance.is_serving:
            serving = instance._replace(is_serving=True)
            yield "serve from peer", _with_instance(world, index, serving)


def apply_record(
    guards: Guards, state: ReplicatedState, record: Record
) -> ReplicatedState:
    """Return the state after one more record was applied."""
    state = state._replace(offset=state.offset + 1)
    if record.snapshot is not None:
        return state
    if record.writer == WRITER:
        if guards.skips_duplicates and record.seq <= state.seq:
            return state
        state = state._replace(
            seq=record.seq, counted_seqs=(*state.counted_seqs, record.seq)
        )
    if guards.checks_version and record.expected_version != state.version:
        return state
    return state._replace(
        replaced_versions=(*state.replaced_versions, record.expected_version)
    )


@lru_cache(maxsize=100_000)
def _state_after_log(
    guards: Guards, log: tuple[Record, ...]
) -> ReplicatedState:
    if not log:
        return ReplicatedState()
    return apply_record(guards, _state_after_log(guards, log[:-1]), log[-1])


def _with_instance(world: World, index: int, instance: Instance) -> World:
    """Return the state of the model with one instance replaced."""
    highest_known_offset = max(
        instance.highest_known_offset, instance.state.offset
    )
    instances = list(world.instances)
    instances[index] = instance._replace(
        highest_known_offset=highest_known_offset
    )
    return world._replace(instances=tuple(instances))


def _deliver_heartbeat(world: World, index: int) -> World:
    """Report the offset of one instance to the other."""
    sender = world.instances[index]
    receiver = world.instances[1 - index]
    highest_known_offset = max(
        receiver.highest_known_offset,
        sender.highest_known_offset,
        sender.state.offset,
    )
    told = list(world.told)
    if sender.is_serving:
        told[index] = max(told[index], sender.state.offset)
    heard = _with_instance(
        world,
        1 - index,
        receiver._replace(highest_known_offset=highest_known_offset),
    )
    return heard._replace(told=tuple(told))


def _states_match_log(guards: Guards, world: dict[str, Any]) -> bool:
    return all(
        item.state
        == _state_after_log(guards, world["log"][: item.state.offset])
        for item in world["instances"]
    )


def _counts_each_batch_once(guards: Guards, world: dict[str, Any]) -> bool:
    counted_seqs = _state_after_log(guards, world["log"]).counted_seqs
    appended = {
        item.seq
        for item in world["log"]
        if item.writer == WRITER and item.snapshot is None
    }
    return sorted(counted_seqs) == sorted(appended)


def _replaces_each_version_once(guards: Guards, world: dict[str, Any]) -> bool:
    replaced_versions = _state_after_log(
        guards, world["log"]
    ).replaced_versions
    return len(set(replaced_versions)) == len(replaced_versions)


def _served_state_never_reverts(world: dict[str, Any]) -> bool:
    return all(
        not item.is_serving or item.state.offset >= told
        for item, told in zip(world["instances"], world["told"], strict=True)
    )
