from __future__ import annotations

import random

import pytest

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import AccessTable
from magnoliapitch.access import Caller
from magnoliapitch.access.credentials import bearer_key
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import Workspace
from tests.access.configurations import HOST
from tests.access.configurations import PRIVATE_QUEUE
from tests.access.configurations import PUBLIC_QUEUE
from tests.access.configurations import SOUTH
from tests.access.configurations import configuration


NORTH_CALLER = Caller("north", is_restricted=True)
KEYLESS_CALLER = Caller("", is_restricted=True)


def test_a_key_selects_its_workspace() -> None:
    table = AccessTable.from_configuration(configuration())
    for queue in (PRIVATE_QUEUE, PUBLIC_QUEUE):
        assert table.caller_for(queue, b"north-2") == NORTH_CALLER


@pytest.mark.parametrize("key", [b"", b"other", b"north-1 ", b"NORTH-1"])
def test_an_unknown_key_is_accepted_on_a_public_queue_only(key: bytes) -> None:
    table = AccessTable.from_configuration(configuration())
    assert table.caller_for(PRIVATE_QUEUE, key) is None
    assert table.caller_for(PUBLIC_QUEUE, key) == KEYLESS_CALLER


def test_without_workspaces_every_caller_is_accepted() -> None:
    table = AccessTable.from_configuration(configuration(workspaces=()))
    for key in (b"", b"north-1"):
        assert table.caller_for(PRIVATE_QUEUE, key) == UNRESTRICTED


def test_an_empty_key_in_the_configuration_is_no_key() -> None:
    workspaces = (Workspace("north", frozenset(("",))),)
    table = AccessTable.from_configuration(
        configuration(workspaces=workspaces)
    )
    assert table.caller_for(PRIVATE_QUEUE, b"") is None


def test_a_key_of_two_workspaces_belongs_to_the_first() -> None:
    workspaces = (SOUTH, Workspace("east", SOUTH.api_keys))
    table = AccessTable.from_configuration(
        configuration(workspaces=workspaces)
    )
    caller = table.caller_for(PRIVATE_QUEUE, b"south-1")
    assert caller == Caller("south", is_restricted=True)


def test_the_queue_is_the_one_that_a_scan_of_all_queues_finds() -> None:
    """An index by length must choose as before for every path."""
    source = random.Random(7)
    queues = tuple(
        Queue(
            f"q{number}",
            f"h{source.randrange(3)}",
            "/" + "".join(source.choices("ab/", k=source.randrange(6))),
            "app",
        )
        for number in range(200)
    )
    newest = configuration(queues=queues)
    table = AccessTable.from_configuration(newest)
    for _ in range(2_000):
        host = f"h{source.randrange(4)}"
        path = "/" + "".join(source.choices("ab/", k=source.randrange(9)))
        assert table.queue_for(host, path) == newest.queue_for(host, path)


def test_a_lookup_does_not_scan_all_queues_and_keys() -> None:
    """1,400 queues and 2,000 keys: one probe for each length of prefix."""
    queues = tuple(
        Queue(f"q{number}", HOST, f"/{number:04}/", "app")
        for number in range(1_400)
    )
    workspaces = tuple(
        Workspace(
            f"w{number}", frozenset(f"{number}-{key}" for key in range(100))
        )
        for number in range(20)
    )
    table = AccessTable.from_configuration(
        configuration(workspaces=workspaces, queues=queues)
    )
    assert len(table.queues_by_host[HOST].prefix_lengths) == 1
    assert len(table.callers_by_key) == 2_000
    found = table.queue_for(HOST, "/1399/0a")
    assert found is not None
    assert found.name == "q1399"
    caller = table.caller_for(found, b"19-99")
    assert caller == Caller("w19", is_restricted=True)


@pytest.mark.parametrize(
    ("authorization", "key"),
    [
        ("Bearer north-1", b"north-1"),
        ("bearer   north-1 ", b"north-1"),
        ("", b""),
        ("Bearer", b""),
        ("Bearer ", b""),
        ("north-1", b""),
        ("Basic north-1", b""),
        ("Bearer\tnorth-1", b""),
        ("Bearer \xc3\xbc", "ü".encode()),
        ("Bearer \u20ac", b""),
    ],
)
def test_the_key_is_read_from_the_header(
    authorization: str, key: bytes
) -> None:
    assert bearer_key(authorization) == key


def test_a_key_that_is_not_ascii_is_compared_by_its_bytes() -> None:
    workspaces = (Workspace("north", frozenset(("schlüssel",))),)
    table = AccessTable.from_configuration(
        configuration(workspaces=workspaces)
    )
    header = "Bearer " + "schlüssel".encode().decode("latin-1")
    caller = table.caller_for(PRIVATE_QUEUE, bearer_key(header))
    assert caller == NORTH_CALLER


def test_a_caller_may_use_jobs_of_its_workspace_and_of_none() -> None:
    assert NORTH_CALLER.may_use("north")
    assert NORTH_CALLER.may_use("")
    assert not NORTH_CALLER.may_use("south")
    assert KEYLESS_CALLER.may_use("")
    assert not KEYLESS_CALLER.may_use("south")
    assert UNRESTRICTED.may_use("south")
