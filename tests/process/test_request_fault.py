from __future__ import annotations

import random
import signal
import threading
import time

from typing import TYPE_CHECKING

import urllib3

from magnoliapitch.history.request import ExecutionEnded
from magnoliapitch.history.request import ExecutionStarted
from magnoliapitch.history.request import RequestEvent
from magnoliapitch.history.request import RequestSent
from magnoliapitch.history.request import ResponseReceived
from magnoliapitch.history.request import check_requests
from magnoliapitch.standin.backend import BackendFault
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from tests.process.conftest import EntryProcess
    from tests.process.conftest import ProcessCluster


CALLERS = 6
REQUESTS = 12
TIMEOUT_S = 4
WAIT_S = 60
SLOTS = 8
ENTRY = {
    "name": "fee-match",
    "owner": "clubs",
    "work_class": "urgent",
    "app": "clubes-app",
    "patience_ms": 2_000,
    "idempotent": False,
}


class Caller:
    """Sends each request through random entries until one answers 200.

    Each request is tried at most four times.
    """

    def __init__(
        self, number: int, entries: list[EntryProcess], events: list[object]
    ) -> None:
        self.number = number
        self.entries = entries
        self.events = events
        self.random = random.Random(number)

    def run(self) -> None:
        for count in range(REQUESTS):
            name = f"c{self.number}-{count}"
            headers = {"Idempotency-Key": name}
            if count % 2:
                headers = {"Ticket": self.request_ticket()}
            for attempt in range(4):
                if self.send(f"{name}-{attempt}", name, headers):
                    break

    def request_ticket(self) -> str:
        while True:
            url = f"{self.random.choice(self.entries).url}/v1/tickets"
            try:
                answer = urllib3.request(
                    "POST",
                    f"{url}/fee-match",
                    retries=False,
                    timeout=TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 201:
                return str(answer.json()["ticket"])

    def send(self, attempt: str, name: str, headers: dict[str, str]) -> bool:
        self.events.append(RequestSent(attempt, name, name.encode()))
        url = f"{self.random.choice(self.entries).url}/v1/requests/fee-match"
        try:
            answer = urllib3.request(
                "POST",
                url,
                body=name.encode(),
                headers={**headers, "X-Request-Id": attempt},
                retries=False,
                timeout=TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            lost_response = ResponseReceived(attempt, Verdict.MAY_HAVE_RUN)
            self.events.append(lost_response)
            return False
        if answer.status == 200:
            body = answer.json()["echo"].encode()
            self.events.append(ResponseReceived(attempt, None, body))
            return True
        verdict = Verdict(answer.json()["verdict"])
        self.events.append(ResponseReceived(attempt, verdict))
        return False


def test_request_guarantees_hold_while_entries_are_killed_and_paused(
    process_cluster: ProcessCluster,
) -> None:
    for zone in (*process_cluster.cluster.shape.zones, "xela-norte"):
        process_cluster.add_entry(zone)
    entries = process_cluster.entries
    for entry in entries:
        entry.wait_ready()
    url = f"{entries[0].admin_url}/v1/catalogue/fee-match"
    assert urllib3.request("PUT", url, json=ENTRY).status == 200
    events: list[RequestEvent] = []

    def observe(request_id: str, server: str, is_start: bool) -> None:
        kind = ExecutionStarted if is_start else ExecutionEnded
        events.append(kind(request_id, server))

    process_cluster.cluster.backends.observer = observe
    process_cluster.cluster.backends.duration_ms = 20
    callers = [Caller(n, entries, events) for n in range(CALLERS)]  # type: ignore[arg-type]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    _inject_faults(process_cluster)
    for thread in threads:
        thread.join(WAIT_S)
        assert not thread.is_alive()
    assert check_requests(events, SLOTS) == ()
    results = [
        e for e in events if isinstance(e, ResponseReceived) and not e.verdict
    ]
    assert results


def _inject_faults(process_cluster: ProcessCluster) -> None:
    servers = [
        info.instance_id
        for info in process_cluster.cluster.instance_list.by_id.values()
        if info.app
    ]
    for server in servers[::3]:
        process_cluster.cluster.backends.add_fault(server, BackendFault.REFUSE)
        process_cluster.cluster.backends.add_fault(
            server, BackendFault.TRUNCATE_RESPONSE
        )
    paused, killed = (
        process_cluster.entries[1].process,
        process_cluster.entries[2],
    )
    time.sleep(0.3)
    paused.send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    killed.process.kill()
    process_cluster.cluster.log.down = True
    time.sleep(1)
    paused.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    process_cluster.cluster.log.down = False
