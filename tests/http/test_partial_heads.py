from __future__ import annotations

import threading

from magnoliapitch.http.partial_heads import PartialHeads


DEADLINE_S = 10.0


class FakeConnection:
    """A connection whose head is there at some time, or whose check fails."""

    def __init__(self, *, is_broken: bool = False) -> None:
        self.is_complete = False
        self.refused: list[str] = []
        self.ended = threading.Event()
        self._is_broken = is_broken

    def can_be_read(self) -> bool:
        if self._is_broken:
            raise ValueError("unexpected")
        return self.is_complete

    def refuse(self, status: str, detail: str) -> None:
        del detail
        self.refused.append(status)
        self.ended.set()

    def close(self) -> None:
        self.ended.set()


def test_a_connection_whose_check_fails_keeps_no_other_waiting() -> None:
    served = threading.Event()
    heads = PartialHeads(lambda _: served.set(), DEADLINE_S)
    broken, other = FakeConnection(is_broken=True), FakeConnection()
    heads.add(broken)
    heads.add(other)
    assert broken.ended.wait(DEADLINE_S)
    other.is_complete = True
    assert served.wait(DEADLINE_S)
    heads.stop()


def test_a_head_that_takes_too_long_is_refused() -> None:
    heads = PartialHeads(lambda _: None, 0.0)
    slow = FakeConnection()
    heads.add(slow)
    assert slow.ended.wait(DEADLINE_S)
    assert slow.refused == ["408 Request Timeout"]
    heads.stop()


def test_a_stop_closes_what_is_kept_and_what_comes_later() -> None:
    heads = PartialHeads(lambda _: None, DEADLINE_S)
    kept, late = FakeConnection(), FakeConnection()
    heads.add(kept)
    heads.stop()
    heads.add(late)
    assert kept.ended.wait(DEADLINE_S)
    assert late.ended.wait(DEADLINE_S)
    assert kept.refused == late.refused == []
