"""Fold, snapshots, truncation, cuts and restarts, for model checking.

A writer appends numbered batches whose answers may be lost, operators race
it, records leave the log, and two instances follow the log or each other,
may be cut from the log together and may restart with nothing.
docs/design/log-fold.md names the function behind each step.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator


OPERATOR = "operator"
WRITER = "writer"
INSTANCES = (0, 1)


class Guards(NamedTuple):
    """Checks of the protocol; a mutant leaves one out.

    :param dedups: the fold skips a sequence number it has seen.
    :param one_outstanding: a batch is formed after the previous one was
        confirmed.
    :param checks_version: a change names the version that it replaces.
    :param checks_cover: a snapshot is used only if every later record is
        still in the log.
    :param asks_peers: a cold instance without the log serves only from
        the highest offset that its peer has heard of.
    :param keeps_later: a snapshot older than the own state is not loaded.
    """

    dedups: bool = True
    one_outstanding: bool = True
    checks_version: bool = True
    checks_cover: bool = True
    asks_peers: bool = True
    keeps_later: bool = True


class Bounds(NamedTuple):
    """Size of the explored state space."""

    records: int = 4
    batches: int = 2
    restarts: int = 1
    snapshots: int = 1
    cuts: int = 1


class Record(NamedTuple):
    """A record of the log.

    :param expected: version that a change replaces.
    :param snapshot: state that the record carries instead of a change.
    """

    writer: str
    seq: int
    expected: int
    snapshot: Folded | None = None


class Folded(NamedTuple):
    """Result of the fold of a prefix of the log.

    :param replaced: versions that accepted changes replaced, in order.
    :param counted: sequence numbers that were counted, in order.
    """

    offset: int = 0
    seq: int = 0
    replaced: tuple[int, ...] = ()
    counted: tuple[int, ...] = ()

    @property
    def version(self) -> int:
        """Version in force."""
        return len(self.replaced)


class Instance(NamedTuple):
    """What an instance keeps in memory.

    :param complete: whether it serves from its state.
    :param seen: highest offset that it has heard of.
    """

    state: Folded = Folded()
    complete: bool = False
    seen: int = 0


class World(NamedTuple):
    """One state of the model.

    :param log: every record ever appended.
    :param oldest: first one still in the log.
    :param flights: batches that were sent and not confirmed.
    :param formed: batches formed so far.
    :param is_cut: whether both instances are cut from the log.
    :param told: highest offset of each instance that the other heard.
    """

    log: tuple[Record, ...] = ()
    oldest: int = 0
    flights: tuple[Record, ...] = ()
    formed: int = 0
    is_cut: bool = False
    instances: tuple[Instance, ...] = (Instance(), Instance())
    told: tuple[int, ...] = (0, 0)
    restarts: int = 0
    cuts: int = 0


def fold_protocol(guards: Guards, bounds: Bounds) -> Any:
    """Return the protocol for ``minicheck.check_safety``."""
    from minicheck import Protocol

    steps = _Steps(guards, bounds)
    return Protocol(
        name="fold",
        candidate=False,
        fields=World._fields,
        initial=World(),
        transitions=steps.of,
        invariants={
            "equal offsets, equal states": lambda world: _is_equal(
                guards, world
            ),
            "each batch counts once": lambda world: _counts_once(
                guards, world
            ),
            "one change replaces a version": lambda world: _has_one_winner(
                guards, world
            ),
            "what is served never goes back": _never_reverts,
        },
    )


class _Steps:
    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def of(self, world: World) -> list[tuple[str, World]]:
        world = World(*world)
        return [
            *self._appends(world),
            *self._environment(world),
            *(
                step
                for index in INSTANCES
                for step in self._instance_steps(world, index)
            ),
        ]

    def _appends(self, world: World) -> Iterator[tuple[str, World]]:
        if world.is_cut or len(world.log) >= self._bounds.records:
            return
        may_form = not (world.flights and self._guards.one_outstanding)
        if may_form and world.formed < self._bounds.batches:
            version = world.instances[0].state.version
            batch = Record(WRITER, world.formed + 1, version)
            formed = world._replace(
                formed=world.formed + 1, flights=(*world.flights, batch)
            )
            yield "form batch", formed
        for batch in world.flights:
            kept = tuple(item for item in world.flights if item != batch)
            log = (*world.log, batch)
            yield "append", world._replace(log=log, flights=kept)
            yield "append, answer lost", world._replace(log=log)
        version = world.instances[1].state.version
        change = Record(OPERATOR, 0, version)
        yield "operator appends", world._replace(log=(*world.log, change))

    def _environment(self, world: World) -> Iterator[tuple[str, World]]:
        if world.oldest < len(world.log):
            yield "expire", world._replace(oldest=world.oldest + 1)
        if world.is_cut:
            yield "heal", world._replace(is_cut=False)
        elif world.cuts < self._bounds.cuts:
            yield "cut", world._replace(is_cut=True, cuts=world.cuts + 1)

    def _instance_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        if world.is_cut:
            yield from self._follow_peer(world, index)
        else:
            yield from self._follow_log(world, index)
            yield from self._publish(world, index)
        if self._bounds.cuts:
            yield "beat", _exchange_beats(world, index)
        if world.restarts < self._bounds.restarts:
            restarted = _put(world, index, Instance())
            yield "restart", restarted._replace(restarts=world.restarts + 1)
        if not self._guards.asks_peers and not instance.complete:
            served = instance._replace(complete=True)
            yield "serve cold", _put(world, index, served)

    def _follow_log(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        state = instance.state
        if state.offset < world.oldest:
            for loaded in self._usable(world, state):
                bridged = instance._replace(state=loaded)
                yield "load snapshot", _put(world, index, bridged)
            return
        if state.offset < len(world.log):
            applied = apply(self._guards, state, world.log[state.offset])
            moved = instance._replace(state=applied)
            yield "follow", _put(world, index, moved)
        elif not instance.complete:
            served = instance._replace(complete=True)
            yield "serve", _put(world, index, served)

    def _usable(self, world: World, state: Folded) -> Iterator[Folded]:
        for record in world.log[world.oldest :]:
            if record.snapshot is None:
                continue
            loaded = record.snapshot
            if loaded.offset < world.oldest:
                if self._guards.checks_cover:
                    continue
                loaded = loaded._replace(offset=world.oldest)
            if loaded.offset > state.offset or not self._guards.keeps_later:
                yield loaded

    def _publish(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        published = sum(item.snapshot is not None for item in world.log)
        if (
            instance.complete
            and published < self._bounds.snapshots
            and len(world.log) < self._bounds.records
        ):
            record = Record(WRITER, 0, 0, instance.state)
            yield "snapshot", world._replace(log=(*world.log, record))

    def _follow_peer(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        instance = world.instances[index]
        peer = world.instances[1 - index]
        is_ahead = peer.state.offset > instance.state.offset
        if peer.complete and (is_ahead or not self._guards.keeps_later):
            moved = instance._replace(state=peer.state)
            if moved != instance:
                yield "take peer's state", _put(world, index, moved)
        floor = max(peer.seen, peer.state.offset)
        reaches = instance.state.offset >= floor
        if peer.complete and reaches and not instance.complete:
            served = instance._replace(complete=True)
            yield "serve from peer", _put(world, index, served)


def apply(guards: Guards, state: Folded, record: Record) -> Folded:
    """Return the fold with one more record."""
    state = state._replace(offset=state.offset + 1)
    if record.snapshot is not None:
        return state
    if record.writer == WRITER:
        if guards.dedups and record.seq <= state.seq:
            return state
        state = state._replace(
            seq=record.seq, counted=(*state.counted, record.seq)
        )
    if guards.checks_version and record.expected != state.version:
        return state
    return state._replace(replaced=(*state.replaced, record.expected))


@lru_cache(maxsize=100_000)
def _fold(guards: Guards, log: tuple[Record, ...]) -> Folded:
    if not log:
        return Folded()
    return apply(guards, _fold(guards, log[:-1]), log[-1])


def _put(world: World, index: int, instance: Instance) -> World:
    seen = max(instance.seen, instance.state.offset)
    instances = list(world.instances)
    instances[index] = instance._replace(seen=seen)
    return world._replace(instances=tuple(instances))


def _exchange_beats(world: World, index: int) -> World:
    sender = world.instances[index]
    receiver = world.instances[1 - index]
    seen = max(receiver.seen, sender.seen, sender.state.offset)
    told = list(world.told)
    if sender.complete:
        told[index] = max(told[index], sender.state.offset)
    heard = _put(world, 1 - index, receiver._replace(seen=seen))
    return heard._replace(told=tuple(told))


def _is_equal(guards: Guards, world: dict[str, Any]) -> bool:
    return all(
        item.state == _fold(guards, world["log"][: item.state.offset])
        for item in world["instances"]
    )


def _counts_once(guards: Guards, world: dict[str, Any]) -> bool:
    counted = _fold(guards, world["log"]).counted
    appended = {
        item.seq
        for item in world["log"]
        if item.writer == WRITER and item.snapshot is None
    }
    return sorted(counted) == sorted(appended)


def _has_one_winner(guards: Guards, world: dict[str, Any]) -> bool:
    replaced = _fold(guards, world["log"]).replaced
    return len(set(replaced)) == len(replaced)


def _never_reverts(world: dict[str, Any]) -> bool:
    return all(
        not item.complete or item.state.offset >= told
        for item, told in zip(world["instances"], world["told"], strict=True)
    )
