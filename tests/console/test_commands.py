from __future__ import annotations

import socket
import threading

from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import pytest

from tests.api.conftest import RunningCluster
from tests.api.conftest import wait_until


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tests.console.conftest import Outcome

    Run = Callable[..., Outcome]

EXAMPLES = Path(__file__).parents[2] / "examples"
CLUBS = EXAMPLES / "clubs.toml"


class Urls:
    def __init__(self, running: RunningCluster) -> None:
        node = running.cluster.entries[0]
        self.caller = f"http://127.0.0.1:{node.caller_listener.port}"
        self.admin = f"http://127.0.0.1:{node.admin_listener.port}"


@pytest.fixture(scope="module")
def urls() -> Iterator[Urls]:
    running = RunningCluster()
    running.start()
    yield Urls(running)
    running.stop()


def test_catalogue_commands_and_requests(run: Run, urls: Urls) -> None:
    admin = ("--server", urls.admin)
    caller = ("--server", urls.caller)
    checked = run("catalogue", "put", CLUBS, "--dry-run", *admin)
    assert checked.out.count("valid, not changed") == 6
    put = run("catalogue", "put", CLUBS, "--wait-s", 20, *admin)
    assert put.exit_code == 0, put.err
    assert put.out.count("in force everywhere") == 6
    listed = orjson.loads(run("catalogue", "list", "--json", *admin).out)
    assert {row["version"] for row in listed} == {1}
    shown = orjson.loads(
        run("catalogue", "get", "seat-check", "--json", *admin).out
    )
    assert shown["everywhere"] is True
    assert shown["work_class"] == "urgent"
    body = ("--body", "w", "--request-id", "r1")
    wait_until(
        lambda: run("request", "seat-check", *body, *caller).exit_code == 0
    )
    response = run("request", "seat-check", *body, *caller)
    assert orjson.loads(response.out)["echo"] == "w"
    conflict = run("catalogue", "delete", "fee-close", "--version", 9, *admin)
    assert conflict.exit_code == 1
    assert "If-Match: found version 9; current is 1 [not_run]" in conflict.err
    deleted = run("catalogue", "delete", "fee-close", "--version", 1, *admin)
    assert deleted.out == "fee-close: deleted\n"
    unknown = run("catalogue", "get", "fee-close", *admin)
    assert "no catalogue entry 'fee-close'" in unknown.err


def test_job_commands_submit_show_and_cancel(run: Run, urls: Urls) -> None:
    server = ("--server", urls.caller)
    run("catalogue", "put", CLUBS, "--server", urls.admin)
    wait_until(
        lambda: (
            run("job", "submit", "j1", "term-roster", *server).exit_code == 0
        )
    )
    status = run("job", "status", "j1", "--json", *server)
    assert orjson.loads(status.out)["job_id"] == "j1"
    assert "j1" in run("job", "list", *server).out
    assert run("job", "cancel", "j1", *server).exit_code == 0
    missing = run("job", "status", "j9", *server)
    assert (missing.exit_code, missing.err) == (
        1,
        "magnoliapitch: not-found: no job j9 [not_run]\n",
    )


def test_state_prints_all_parts_or_one(run: Run, urls: Urls) -> None:
    server = ("--server", urls.admin)
    assert "supervisor" in orjson.loads(run("state", *server).out)
    part = orjson.loads(run("state", "journal", *server).out)
    assert "next_offset" in part
    wrong = run("state", "jornal", *server)
    assert wrong.exit_code == 64
    assert "the dump has" in wrong.err


@pytest.mark.parametrize(
    "arguments",
    [
        ("state",),
        ("drain",),
        ("request", "seat-check"),
        ("job", "status", "j1"),
        ("catalogue", "list"),
    ],
)
def test_unreachable_server_is_named(
    run: Run, arguments: tuple[str, ...]
) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        outcome = run(*arguments, "--server", url)
    assert outcome.exit_code == 69
    assert f"cannot reach {url}: [Errno 111] Connection ref" in outcome.err
    assert "Traceback" not in outcome.err


def test_lost_response_says_that_the_request_may_have_run(run: Run) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:

        def accept_and_close() -> None:
            connection = server.accept()[0]
            connection.recv(65_536)
            connection.close()

        thread = threading.Thread(target=accept_and_close)
        thread.start()
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        outcome = run("request", "fee-reconcile", "--server", url)
        thread.join(10)
    assert outcome.exit_code == 75
    assert "the request may have run" in outcome.err


def test_invalid_files_and_arguments_are_rejected(
    run: Run, tmp_path: Path
) -> None:
    wrong = tmp_path / "wrong.toml"
    text = CLUBS.read_text().replace('"batch"', '"bulk"')
    wrong.write_text(text.replace("share = 4", "shares = 4", 1))
    outcome = run("catalogue", "check", wrong)
    assert outcome.exit_code == 65
    lines = outcome.err.splitlines()
    assert lines[0].endswith("limits.shares: unknown key; did you mean share?")
    assert f"{wrong}:31: limits.shares" in lines[0]
    assert "work_class: found 'bulk'; input should be 'urgent'" in lines[1]
    for arguments, code, message in (
        (("dev", tmp_path / "none"), 65, "none: cannot be read: No such file"),
        (("settings", "check", wrong), 65, "instance_id: missing"),
        (("request", "x", "--file", tmp_path), 65, "cannot be read"),
        (("request", "x", "--server", "here"), 64, "is not a URL"),
        (("stat",), 64, "state"),
    ):
        outcome = run(*arguments)
        assert outcome.exit_code == code, outcome
        assert message in outcome.err, outcome
        assert "Traceback" not in outcome.err


def test_example_catalogues_are_valid(run: Run) -> None:
    for name, count in (("clubs", 6), ("rounds", 6)):
        outcome = run("catalogue", "check", EXAMPLES / f"{name}.toml")
        assert f"{count} valid entries" in outcome.out


def test_job_explain_names_the_limit_of_a_waiting_job(
    run: Run, urls: Urls
) -> None:
    server = ("--server", urls.caller)
    run("catalogue", "put", CLUBS, "--server", urls.admin)
    big = ("--tasks", 900, "--cpu-millis", 16_000, "--payload", "run_ms=60000")
    wait_until(
        lambda: (
            run("job", "submit", "big", "term-roster", *big, *server).exit_code
            == 0
        )
    )
    wait_until(
        lambda: (
            '"waits": true'
            in run("job", "explain", "big", "--json", *server).out
        )
    )
    shown = orjson.loads(run("job", "explain", "big", "--json", *server).out)
    assert shown["limit"]
    run("job", "cancel", "big", *server)
    missing = run("job", "explain", "none", *server)
    assert "no job none [not_run]" in missing.err
