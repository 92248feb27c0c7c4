"""Instances that lost power, as others that they were relayed to see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok
from result import Result

from magnoliapitch.http.client import MAX_CONNECT_TIMEOUT_MS
from tests.relay.cluster import JOB
from tests.relay.cluster import LEADER
from tests.relay.cluster import PEERS
from tests.relay.cluster import STORE_DOWN
from tests.relay.cluster import TIMEOUT_MS
from tests.relay.cluster import UNANSWERED
from tests.relay.cluster import Cluster
from tests.relay.cluster import FakeJobApi


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.verdict import Failure


class SilentLeader(Cluster):
    """The store fails here, and the leader's instance has lost power.

    :param max_wait_ms: how long a call to it takes at most; a new connection
        fails earlier than a kept one, which waits for an answer.
    """

    def __init__(self, max_wait_ms: int) -> None:
        super().__init__(STORE_DOWN)
        self._max_wait_ms = max_wait_ms
        self.peers[PEERS[0]] = FakeJobApi()

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Result[HttpReply, Failure]:
        if f"//{LEADER}/" in url:
            self.called.append(LEADER)
            self.clock.advance(min(timeout_ms, self._max_wait_ms))
            return Err(UNANSWERED)
        return super().exchange(method, url, timeout_ms, body, headers)


# The call to the leader took all the time, so that no other instance was
# tried, and the caller got a failure with 2 s of its 3 s left.
@pytest.mark.parametrize("max_wait_ms", [MAX_CONNECT_TIMEOUT_MS, 60_000])
def test_another_instance_is_tried_if_the_leader_is_silent(
    max_wait_ms: int,
) -> None:
    cluster = SilentLeader(max_wait_ms)
    assert cluster.jobs.state("0a", TIMEOUT_MS).is_ok()
    assert cluster.jobs.cancel("0a", TIMEOUT_MS) == Ok(True)
    assert cluster.jobs.submit(JOB, TIMEOUT_MS) == Ok(None)
