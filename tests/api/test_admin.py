from __future__ import annotations

import threading

from typing import TYPE_CHECKING

import urllib3

from tests.api.conftest import wait_until


if TYPE_CHECKING:
    import pytest

    from tests.api.conftest import RunningCluster


ENTRY = {
    "name": "seat-check",
    "owner": "clubs",
    "work_class": "urgent",
    "app": "clubes-app",
}
PATH = "/v1/catalogue/seat-check"


def test_admin_changes_an_entry_only_with_its_version(
    running: RunningCluster,
) -> None:
    created = running.admin("PUT", PATH, ENTRY)
    assert (created.status, created.headers["ETag"]) == (200, '"1"')
    missing = running.admin("PUT", PATH, ENTRY)
    assert missing.status == 428
    assert 'If-Match: "1"' in missing.json()["detail"]
    changed = running.admin("PUT", PATH, {**ENTRY, "owner": "x"}, '"1"')
    assert (changed.status, changed.json()["version"]) == (200, 2)
    raced = running.admin("PUT", PATH, {**ENTRY, "owner": "y"}, '"1"')
    assert raced.status == 409
    assert raced.json()["verdict"] == "not_run"
    shown = running.admin("GET", PATH)
    assert (shown.json()["owner"], shown.headers["ETag"]) == ("x", '"2"')
    assert running.admin("DELETE", PATH).status == 428
    assert running.admin("DELETE", PATH, if_match='"1"').status == 409
    assert running.admin("DELETE", PATH, if_match='"2"').status == 200
    assert running.admin("GET", PATH).status == 404


def test_admin_rejects_an_invalid_change_and_names_all_faults(
    running: RunningCluster,
) -> None:
    wrong = {**ENTRY, "work_class": "fast", "limits": {"shares": 1}}
    answer = running.admin("PUT", PATH, wrong)
    assert answer.status == 400
    for part in ("work_class", "'fast'", "urgent", "shares"):
        assert part in answer.json()["detail"]
    other = running.admin("PUT", "/v1/catalogue/other", ENTRY)
    assert "the path says 'other'" in other.json()["detail"]
    assert running.admin("PUT", PATH, ENTRY, "new").status == 400
    assert running.admin("GET", "/v1/catalogue").json() == {"entries": []}


def test_admin_checks_a_change_without_making_it(
    running: RunningCluster,
) -> None:
    answer = running.admin("PUT", f"{PATH}?dry_run=true", ENTRY)
    assert answer.json() == {"name": "seat-check", "valid": True}
    assert running.admin("GET", "/v1/catalogue").json() == {"entries": []}


def test_admin_shows_on_which_instances_a_change_is_applied(
    running: RunningCluster,
) -> None:
    running.admin("PUT", PATH, ENTRY)

    def is_everywhere() -> bool:
        answer = running.admin("GET", f"{PATH}/applied").json()
        rows = answer["instances"]
        return bool(answer["everywhere"]) and len(rows) == 2

    wait_until(is_everywhere)


def test_admin_drain_turns_readiness_off_and_refuses_new_work(
    running: RunningCluster,
) -> None:
    running.admin("PUT", PATH, ENTRY)
    node = running.cluster.entries[0]
    assert running.admin("GET", "/v1/ready").status == 200
    assert running.admin("POST", "/v1/drain").status == 202
    assert running.admin("GET", "/v1/ready").status == 503
    refused = urllib3.request(
        "POST",
        f"http://127.0.0.1:{node.caller_listener.port}/v1/requests/seat-check",
        retries=False,
    )
    assert refused.status == 503
    assert refused.json()["title"] == "shutting-down"
    assert refused.json()["verdict"] == "not_run"
    assert running.admin("GET", "/v1/health").status == 200


def test_admin_is_not_ready_while_callers_cannot_connect(
    running: RunningCluster,
) -> None:
    node = running.cluster.entries[0]
    wait_until(lambda: running.admin("GET", "/v1/ready").status == 200)
    node.caller_listener.stop()
    assert node.core.is_ready()
    assert not node.is_ready()


def test_admin_dumps_the_state_of_every_part(running: RunningCluster) -> None:
    dump = running.admin("GET", "/v1/state").json()
    loops = dump["supervisor"]["platform"]["children"]
    assert loops["follower"]["alive"]
    assert loops["follower"]["heartbeat_age_ms"] >= 0
    assert dump["cost"]["memory_bytes"] > 0
    assert {"instance", "journal", "membership", "router", "jobs"} <= set(dump)
    text = running.admin("GET", "/v1/metrics").data.decode()
    assert "magnoliapitch_process_threads " in text


def test_admin_answers_while_callers_hold_every_thread(
    running: RunningCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    node = running.cluster.entries[0]
    running.admin("PUT", PATH, ENTRY)
    release = threading.Event()
    threads = node.settings.listeners.caller_threads
    busy = threading.Semaphore(0)
    original = node.core.router.execute

    def execute(request: object) -> object:
        busy.release()
        release.wait(30)
        return original(request)  # type: ignore[arg-type]

    monkeypatch.setattr(node.core.router, "execute", execute)
    url = f"http://127.0.0.1:{node.caller_listener.port}"
    callers = [
        threading.Thread(
            target=urllib3.request,
            args=("POST", f"{url}/v1/requests/seat-check"),
        )
        for _ in range(threads + 16)
    ]
    for caller in callers:
        caller.start()
    for _ in range(threads):
        assert busy.acquire(timeout=30)
    assert running.admin("GET", "/v1/health").status == 200
    assert running.admin("GET", "/v1/state").status == 200
    changed = running.admin("PUT", PATH, {**ENTRY, "owner": "x"}, '"1"')
    assert changed.status == 200
    release.set()
    for caller in callers:
        caller.join(30)
