"""Clients that do not keep to the limits must not end or block a process.

Each test starts an instance of its own. The crowds, and the bounds below, are
those for which the limits were made: they stay as they are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.crowds.crowd import CHUNKED_HEAD
from tests.crowds.crowd import MANY_SILENT_COUNT
from tests.crowds.crowd import RepeatingCrowd
from tests.crowds.crowd import SilentCrowd
from tests.crowds.crowd import SlowCrowd
from tests.crowds.crowd import send_unread
from tests.crowds.crowd import send_without_end
from tests.crowds.instance import HTTP_SETTINGS
from tests.crowds.instance import Instance
from tests.process.test_job_node import HOST
from tests.process.test_job_node import PREFIX


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


# The memory of the users' smallest machine.
MAX_MEMORY_MIB = 160
# Twice the connections of the lowered limits, and what an instance has open
# in calm: its listeners, and connections to the store and the worker.
MAX_DESCRIPTORS = 2 * 256 + 100
# Those of the users' smallest machine, less the ones kept for files.
MAX_SMALL_DESCRIPTORS = 1_638 - 200
SMALL_CHUNK = b"1;a=b\r\n \r\n"
LAST_CHUNK = b"0\r\n\r\n"
ORDINARY_COUNT = 10
ACCEPTED = 200
PLAIN_HEAD = f"POST {PREFIX}00000000000000aa HTTP/1.1\r\nHost: {HOST}\r\n"
LENGTH_HEAD = PLAIN_HEAD.encode() + b"Content-Length: %d\r\n\r\n"


def job_of_many_steps(length: int) -> bytes:
    """Return a job of as many steps as fit a body of a length."""
    head, step, tail = b'{"spec":"1","steps":[', b'{"count":1}', b"]}"
    count = (length - len(head) - len(tail)) // (len(step) + 1)
    return head + b",".join([step] * count) + tail


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[Instance]:
    started = Instance(tmp_path)
    try:
        started.wait_ready()
        yield started
    finally:
        started.close()


def check(instance: Instance) -> None:
    """Check what must hold whatever clients send."""
    assert instance.is_alive()
    assert instance.peak_memory_mib() <= MAX_MEMORY_MIB
    assert instance.descriptor_count() <= MAX_DESCRIPTORS
    assert instance.accepts_ordinary_request()
    assert instance.is_alive()


# The users' report: trailers without end behind a chunked body ended a process
# for want of memory.
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        pytest.param(b"", b"0", id="size"),
        pytest.param(b"2\r\n{}\r\n", b"0", id="later-size"),
        pytest.param(b"2;", b"a", id="extension"),
        pytest.param(b"2\r\n{}\r\n0;", b"a", id="last-extension"),
        pytest.param(b"2\r\n{}\r\n0\r\n", b"a", id="trailer"),
        pytest.param(b"2\r\n{}\r\n0\r\n", b"X-A: b\r\n", id="trailers"),
        pytest.param(b"", b"1\r\n \r\n", id="small-chunks"),
        pytest.param(b"FFFFFFFFFFFFFFF\r\n", b"a", id="huge-chunk"),
    ],
)
def test_a_chunked_body_without_end_takes_bounded_memory(
    instance: Instance, head: bytes, piece: bytes
) -> None:
    send_without_end(instance.callers, CHUNKED_HEAD + head, piece)
    check(instance)


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        pytest.param("GET /", b"a", id="request-line"),
        pytest.param(PLAIN_HEAD + "X-A: ", b"a", id="header"),
        pytest.param(PLAIN_HEAD, b"X-A: b\r\n", id="headers"),
        pytest.param(PLAIN_HEAD, b" b\r\n", id="continued-header"),
    ],
)
def test_a_head_without_end_takes_bounded_memory(
    instance: Instance, head: str, piece: bytes
) -> None:
    send_without_end(instance.callers, head.encode(), piece)
    check(instance)


def test_a_size_line_without_end_on_the_readiness_port(
    instance: Instance,
) -> None:
    send_without_end(instance.readiness, CHUNKED_HEAD, b"0")
    check(instance)


def test_answers_that_nobody_reads(instance: Instance) -> None:
    send_unread(instance.callers)
    check(instance)


@pytest.mark.parametrize("port", ["callers", "readiness"])
def test_connections_that_send_nothing(instance: Instance, port: str) -> None:
    crowd = SilentCrowd(getattr(instance, port))
    try:
        check(instance)
    finally:
        crowd.close()


# By default, 4,096 connections of callers could be open.
def test_the_default_limits_leave_descriptors_on_a_small_machine(
    tmp_path: Path,
) -> None:
    instance = Instance(tmp_path, http_settings="")
    try:
        instance.wait_ready()
        crowd = SilentCrowd(instance.callers, MANY_SILENT_COUNT)
        count = instance.settled_descriptor_count()
        crowd.close()
        assert count <= MAX_SMALL_DESCRIPTORS
        assert instance.peak_memory_mib() <= MAX_MEMORY_MIB
        assert instance.accepts_ordinary_request()
    finally:
        instance.close()


# Jobs of many steps were decoded in all threads at a time, and exceeded the
# memory of every instance; the limit of the configuration was not used.
@pytest.mark.parametrize("length", [261_000, 1_000_000])
def test_bodies_of_many_steps_take_bounded_memory(
    tmp_path: Path, length: int
) -> None:
    instance = Instance(tmp_path, http_settings="")
    try:
        instance.wait_ready()
        body = job_of_many_steps(length)
        request = LENGTH_HEAD % len(body) + body
        crowd = RepeatingCrowd(instance.callers, request)
        try:
            for _ in range(ORDINARY_COUNT):
                assert instance.accepts_ordinary_request()
        finally:
            crowd.close()
        assert instance.is_alive()
        assert instance.peak_memory_mib() <= MAX_MEMORY_MIB
    finally:
        instance.close()


# Bodies in chunks of one byte took most of a second of the processor each, so
# that ordinary calls waited for seconds and most got 503.
@pytest.mark.parametrize(
    ("http_settings", "chunk_count"),
    [
        pytest.param(HTTP_SETTINGS, 25_000, id="lowered"),
        pytest.param("", 100_000, id="default"),
    ],
)
def test_ordinary_requests_are_accepted_beside_small_chunks(
    tmp_path: Path, http_settings: str, chunk_count: int
) -> None:
    request = CHUNKED_HEAD + SMALL_CHUNK * chunk_count + LAST_CHUNK
    instance = Instance(tmp_path, http_settings)
    try:
        instance.wait_ready()
        crowd = RepeatingCrowd(instance.callers, request)
        try:
            statuses = [
                instance.answer_to_ordinary_request()
                for _ in range(ORDINARY_COUNT)
            ]
        finally:
            crowd.close()
        assert statuses == [ACCEPTED] * ORDINARY_COUNT
        check(instance)
    finally:
        instance.close()


# All threads of the listener waited for the rest of request lines, headers and
# trailers, so that ordinary calls got no answer.
@pytest.mark.parametrize(
    "head",
    [
        pytest.param(b"P", id="request-line"),
        pytest.param(PLAIN_HEAD.encode() + b"X-A: ", id="header"),
        pytest.param(CHUNKED_HEAD + b"2", id="size"),
        pytest.param(CHUNKED_HEAD + b"2\r\n{}\r\n0\r\n", id="trailer"),
    ],
)
def test_an_ordinary_request_is_answered_beside_slow_ones(
    instance: Instance, head: bytes
) -> None:
    crowd = SlowCrowd(instance.callers, head)
    try:
        assert instance.answer_to_ordinary_request() > 0
    finally:
        crowd.close()
    check(instance)


# All threads, those that only refuse included, waited for the rest of bodies,
# so that ordinary calls got 503, or no answer at all.
@pytest.mark.parametrize(
    "head",
    [
        pytest.param(LENGTH_HEAD % 4_000 + b"{", id="short"),
        pytest.param(LENGTH_HEAD % 200_000 + b"{", id="long"),
        pytest.param(LENGTH_HEAD % 200_000 + b" " * 100_000, id="begun"),
        pytest.param(CHUNKED_HEAD + b"1000\r\n{", id="chunk"),
        pytest.param(
            CHUNKED_HEAD + b"20000\r\n" + b" " * 100_000, id="begun-chunk"
        ),
        pytest.param(CHUNKED_HEAD + b"1000\r\n0\r\n\r\n", id="false-end"),
    ],
)
def test_ordinary_requests_are_accepted_beside_slow_bodies(
    instance: Instance, head: bytes
) -> None:
    crowd = SlowCrowd(instance.callers, head)
    statuses = []
    try:
        for _ in range(ORDINARY_COUNT):
            statuses.append(instance.answer_to_ordinary_request())
            assert statuses[-1] > 0
    finally:
        crowd.close()
    assert statuses.count(ACCEPTED) > ORDINARY_COUNT // 2
    check(instance)
