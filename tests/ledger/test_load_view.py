from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.admission import LoadFigures
from magnoliapitch.admission import encode_figures
from magnoliapitch.ledger.load_view import LoadView
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import LOAD_KEY
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from magnoliapitch.ledger.leadership import Leadership
    from magnoliapitch.ledger.state_table import StateTable
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


EPOCH = 7
LEADER = LeaderRecord(EPOCH, "leader")


def figures(sequence: int = 1, epoch: int = EPOCH) -> LoadFigures:
    return LoadFigures(epoch, sequence, {}, {})


def append_load(streams: MemoryStreams, value: bytes) -> None:
    streams.append(STATE_STREAM, [KeyedRecord(LOAD_KEY, value)])


class Follower:
    """An instance that reads the stream of states."""

    def __init__(
        self, streams: MemoryStreams, clock: ManualClock, leader: Leadership
    ) -> None:
        self.streams = streams
        self.clock = clock
        self.leadership = leader
        self.states: StateTable = leader._state_table
        streams.append(
            STATE_STREAM, [KeyedRecord(LEADER_KEY, encode_leader(LEADER))]
        )

    def age_ms(self) -> int | None:
        load = self.states.load.current(
            self.states.leader, self.clock.now_ms()
        )
        return None if load is None else load.age_ms


@pytest.fixture
def follower(
    streams: MemoryStreams, clock: ManualClock, make_leadership: MakeLeadership
) -> Follower:
    return Follower(streams, clock, make_leadership("a"))


def test_the_age_counts_from_the_read(follower: Follower) -> None:
    follower.leadership.follow()
    append_load(follower.streams, encode_figures(figures()))
    follower.clock.advance(200)
    follower.leadership.follow()
    assert follower.age_ms() == 0
    follower.clock.advance(1_500)
    follower.leadership.follow()
    assert follower.age_ms() == 1_500


def test_figures_found_at_the_start_may_be_of_any_age(
    follower: Follower,
) -> None:
    """The last leader may have ended an hour before."""
    append_load(follower.streams, encode_figures(figures()))
    follower.leadership.follow()
    assert follower.age_ms() is None


def test_figures_found_after_a_partition_may_be_of_any_age(
    follower: Follower,
) -> None:
    follower.leadership.follow()
    append_load(follower.streams, encode_figures(figures()))
    follower.streams.outage = not_run(FailureCode.UNAVAILABLE, "cut off")
    follower.clock.advance(60_000)
    assert follower.leadership.follow().is_err()
    follower.streams.outage = None
    follower.leadership.follow()
    assert follower.age_ms() is None
    append_load(follower.streams, encode_figures(figures(2)))
    follower.clock.advance(200)
    follower.leadership.follow()
    assert follower.age_ms() == 0


def test_figures_grow_old_while_the_store_cannot_be_read(
    follower: Follower,
) -> None:
    follower.leadership.follow()
    append_load(follower.streams, encode_figures(figures()))
    follower.leadership.follow()
    follower.streams.outage = not_run(FailureCode.UNAVAILABLE, "cut off")
    follower.clock.advance(5_000)
    follower.leadership.follow()
    assert follower.age_ms() == 5_000


def test_figures_of_a_former_leader_are_not_used() -> None:
    """A new leader begins with a lower sequence."""
    view = LoadView()
    view.update(figures(90), 1_000)
    assert view.current(LEADER, 1_000) is not None
    next_leader = LeaderRecord(EPOCH + 1, "next")
    assert view.current(next_leader, 1_000) is None
    view.update(figures(1, EPOCH + 1), 1_100)
    assert view.current(next_leader, 1_100) is not None
    view.update(figures(91), 1_200)
    assert view.current(next_leader, 1_200) is not None


def test_without_a_leader_there_are_no_figures() -> None:
    view = LoadView()
    view.update(figures(), 1_000)
    assert view.current(None, 1_000) is None
    resigned = LEADER._replace(has_resigned=True)
    assert view.current(resigned, 1_000) is None


def test_older_figures_of_a_leader_do_not_replace_newer_ones() -> None:
    view = LoadView()
    view.update(figures(2), 1_000)
    view.update(figures(1), 1_900)
    load = view.current(LEADER, 2_000)
    assert load is not None
    assert (load.figures.sequence, load.age_ms) == (2, 1_000)


@pytest.mark.parametrize("value", [b"{", b"[1,2,3]", b'["7",1,{},{}]'])
def test_an_unreadable_record_changes_nothing(
    follower: Follower, value: bytes
) -> None:
    """The figures before it are used until they are too old."""
    follower.leadership.follow()
    append_load(follower.streams, encode_figures(figures()))
    follower.leadership.follow()
    follower.clock.advance(400)
    append_load(follower.streams, value)
    assert follower.leadership.follow().is_ok()
    assert follower.age_ms() == 400


def test_a_deleted_record_is_not_an_error(follower: Follower) -> None:
    follower.leadership.follow()
    append_load(follower.streams, encode_figures(figures()))
    follower.leadership.follow()
    append_load(follower.streams, b"")
    assert follower.leadership.follow().is_ok()
