"""Random sequences of faults, with all replicas checked after each step."""

from __future__ import annotations

import itertools

from typing import TYPE_CHECKING
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Ok

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.journal import ClusterState
from magnoliapitch.journal import apply_record
from magnoliapitch.journal import decode_record
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
from magnoliapitch.journal.record import CatalogueDelete
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.snapshot import state_digest
from magnoliapitch.journal.snapshot_writer import SnapshotWriter
from magnoliapitch.verdict import Verdict
from tests.membership.conftest import DRIVEN_STEPS
from tests.membership.conftest import Group


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.journal.state_machine import RecordOutcome
    from magnoliapitch.verdict import Failure


NAMES = ("a", "b", "c")
ENTRIES = ("x", "y")
SNAPSHOT_INTERVAL_RECORDS = 12
CONVERGENCE_MAX_MS = 40_000


class Write(NamedTuple):
    """Enqueued change of the catalogue, identified by its unique owner."""

    owner: str
    pending: PendingRecordEntry
    core: EntryCore


class Run:
    """Applies faults to entry instances and compares their states.

    The reference state applies each record when it is appended. Every
    instance must have the digest of the reference at the same offset.
    """

    def __init__(self) -> None:
        self.group = Group()
        self.records: list[bytes] = []
        self.digests = [state_digest(ClusterState())]
        self.applied: dict[str, int] = {}
        self.writes: list[Write] = []
        self.offsets: dict[str, int] = {}
        self.versions: dict[str, dict[str, int]] = {}
        self._reference = ClusterState()
        self._append = self.group.log.append
        self.group.log.append = self._record  # type: ignore[method-assign]
        for name in NAMES:
            self.start(name)
        self.run(4_000)

    def start(self, name: str) -> None:
        seeds = tuple(item for item in NAMES if item != name)
        core = self.group.add(name, seeds=seeds)
        core.snapshot_writer = SnapshotWriter(
            core.journal, SNAPSHOT_INTERVAL_RECORDS
        )

    def run(self, duration_ms: int) -> None:
        self.group.run(duration_ms)
        self.check()

    def put(self, name: str, entry: str, expected: int | None) -> None:
        journal = self.group.cores[name].journal
        owner = f"w{len(self.writes)}"
        with journal.locked_state() as state:
            found = state.catalogue_by_name.get(entry)
        version = expected if expected is not None else 0
        if expected is None and found is not None:
            version = found.version
        change = CataloguePut(
            CatalogueEntry(entry, owner, WorkClass.BATCH), version
        )
        pending = journal.enqueue(change)
        self.writes.append(Write(owner, pending, self.group.cores[name]))

    def operator_put(self, entry: str, version: int) -> None:
        change = CataloguePut(
            CatalogueEntry(entry, "operator", WorkClass.BATCH), version
        )
        self.group.log.append(encode_record((change,)))

    def delete(self, entry: str) -> None:
        found = self._reference.catalogue_by_name.get(entry)
        change = CatalogueDelete(entry, found.version if found else 0)
        self.group.log.append(encode_record((change,)))

    def give_up(self) -> None:
        for write in self.writes:
            write.pending.wait(0)

    def toggle_cut(self, source: str, target: str) -> None:
        if source != target:
            self.group.network.blocked_links ^= {
                (f"{source}:1", f"{target}:1")
            }

    def expire(self, kept: int) -> None:
        self.group.log.expire(len(self.records) - kept)

    def restart(self, name: str) -> None:
        self.group.kill(name)
        access = self.group.logs[name]
        self.start(name)
        self.group.logs[name].down = access.down

    def heal(self) -> None:
        self.group.network.blocked_links.clear()
        self.group.log.down = False
        for access in self.group.logs.values():
            access.down = False
            access.responses_to_lose = 0
        oldest = self.group.log.read(0, 1).unwrap().oldest
        recoverable = any(
            core.journal.is_complete and core.journal.next_offset >= oldest
            for core in self.group.cores.values()
        )
        self.run(CONVERGENCE_MAX_MS)
        for core in self.group.cores.values():
            core.journal.follow_step()
        self.check()
        self.give_up()
        self.check_outcomes()
        if recoverable or oldest == 0:
            self.check_converged()

    def check(self) -> None:
        for core in self.group.cores.values():
            name = core.identity.incarnation
            with core.journal.locked_state() as state:
                digest = state_digest(state)
                versions = {
                    entry: found.version
                    for entry, found in state.catalogue_by_name.items()
                }
                offset = state.next_offset
            assert digest == self.digests[offset]
            assert offset >= self.offsets.get(name, 0)
            for entry, version in self.versions.get(name, {}).items():
                assert versions.get(entry, version) >= version
            self.offsets[name] = offset
            self.versions[name] = versions

    def check_outcomes(self) -> None:
        log = b"\n".join(self.records)
        for write in self.writes:
            count = self.applied.get(write.owner, 0)
            assert count <= 1
            outcome = write.pending.outcome
            if isinstance(outcome, Ok):
                assert count == outcome.ok_value.applied
            elif _is_not_run(outcome):
                assert f'"{write.owner}"'.encode() not in log

    def check_converged(self) -> None:
        journals = [core.journal for core in self.group.cores.values()]
        for write in self.writes:
            if write.core in self.group.cores.values():
                assert write.pending.outcome is not None
        assert all(journal.is_complete for journal in journals)
        assert {journal.next_offset for journal in journals} == {
            len(self.records)
        }

    def _record(self, data: bytes) -> Result[int, Failure]:
        answer = self._append(data)
        if isinstance(answer, Ok):
            self.records.append(data)
            record = LogRecord(answer.ok_value, data)
            outcome = apply_record(self._reference, record)
            self.digests.append(state_digest(self._reference))
            self._count(data, outcome)
        return answer

    def _count(self, data: bytes, outcome: RecordOutcome) -> None:
        try:
            entries = decode_record(data).entries
        except DamagedRecordError:
            return
        for entry, result in zip(entries, outcome.outcomes, strict=False):
            if isinstance(entry, CataloguePut) and result.applied:
                owner = entry.entry.owner
                self.applied[owner] = self.applied.get(owner, 0) + 1


def _is_not_run(outcome: object) -> bool:
    failure = getattr(outcome, "err_value", None)
    return failure is not None and failure.verdict is Verdict.NOT_RUN


INSTANCE = st.sampled_from(NAMES)
ENTRY = st.sampled_from(ENTRIES)
RUN = st.tuples(st.just("run"), st.sampled_from((500, 500, 1_000, 4_000)))
PUT = st.tuples(st.just("put"), INSTANCE, ENTRY, st.sampled_from((None, 0)))
FAULT = st.one_of(
    st.tuples(st.just("operator put"), ENTRY, st.integers(0, 3)),
    st.tuples(st.just("delete"), ENTRY),
    st.tuples(st.just("damage"), st.text(max_size=20)),
    st.tuples(st.just("lose"), INSTANCE, st.integers(1, 3)),
    st.tuples(st.just("lose"), INSTANCE, st.integers(1, 3)),
    st.tuples(st.just("log"), INSTANCE),
    st.tuples(st.just("log"), INSTANCE),
    st.tuples(st.just("outage")),
    st.tuples(st.just("cut"), INSTANCE, INSTANCE),
    st.tuples(st.just("expire"), st.integers(0, 10)),
    st.tuples(st.just("restart"), INSTANCE),
    st.tuples(st.just("give up")),
)
ROUNDS = st.lists(st.tuples(FAULT, PUT, FAULT, RUN), min_size=6, max_size=9)


def apply_step(run: Run, step: tuple[object, ...]) -> None:
    kind, *values = step
    group = run.group
    if kind == "log":
        access = group.logs[str(values[0])]
        access.down = not access.down
    elif kind == "outage":
        group.log.down = not group.log.down
    elif kind == "lose":
        group.logs[str(values[0])].responses_to_lose += int(str(values[1]))
    elif kind == "damage":
        group.log.append(str(values[0]).encode())
    elif kind == "cut":
        run.toggle_cut(*map(str, values))
    else:
        method = getattr(run, str(kind).replace(" ", "_"))
        method(*values)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(ROUNDS)
def test_history_is_the_same_everywhere_under_faults(
    rounds: list[tuple[tuple[object, ...], ...]],
) -> None:
    assert "snapshots" in DRIVEN_STEPS
    run = Run()
    for step in itertools.chain.from_iterable(rounds):
        apply_step(run, step)
        run.check()
    run.heal()
