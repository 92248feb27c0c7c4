"""Stand-ins for the services of the users' platform.

They serve its published HTTP protocol on loopback: the store, workers
(runners) and the advisor, with faults that a test can switch on.
"""

from __future__ import annotations

import base64
import json
import struct
import threading
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

from cheroot import wsgi


if TYPE_CHECKING:
    from collections.abc import Callable


LOOPBACK = "127.0.0.1"
THREAD_COUNT = 24
PAGE_RECORD_COUNT = 500
# The store answers a repeat of one of these appends as it did first.
REPEATED_APPEND_COUNT = 5


class Reply(NamedTuple):
    """HTTP answer of a handler."""

    status: int
    body: bytes = b"{}"


def json_reply(value: object, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode())


class HttpServer:
    """HTTP server that answers with ``handle``.

    :param port: 0 to listen on a free port.
    :ivar responses_to_lose: number of calls that are carried out but answered
        with status 502 after a delay.
    """

    def __init__(self, port: int = 0, threads: int = THREAD_COUNT) -> None:
        self.responses_to_lose = 0
        self._server = wsgi.Server(
            (LOOPBACK, port), self._serve, numthreads=threads
        )
        self._server.shutdown_timeout = 0
        self._server.prepare()
        thread = threading.Thread(target=self._server.serve, daemon=True)
        thread.start()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self._server.bind_addr[1]}"

    def close(self) -> None:
        self._server.stop()

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        raise NotImplementedError

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        path = urlsplit(environ["PATH_INFO"]).path
        reply = self.handle(path, query, body, environ)
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            time.sleep(1.0)
            reply = Reply(502)
        start_response(
            f"{reply.status} X",
            [("Content-Length", str(len(reply.body)))],
        )
        return [reply.body]


class _Partition:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[str, bytes]] = []
        self.epochs: dict[str, int] = {}
        self.answers: dict[str, dict[int, bytes]] = {}


class StandinStore(HttpServer):
    """The platform's store, with partition 0 of keyed topics only."""

    def __init__(self, threads: int = THREAD_COUNT) -> None:
        self._condition = threading.Condition()
        self._by_topic: dict[str, _Partition] = {}
        self.is_down = False
        super().__init__(threads=threads)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as an operator or a worker does."""
        with self._condition:
            data = b"" if value is None else json.dumps(value).encode()
            self._partition(topic).records.append((key, data))
            self._condition.notify_all()

    def expire(self, topic: str) -> None:
        """Expire all records but the newest of each key."""
        with self._condition:
            partition = self._partition(topic)
            partition.first = len(partition.records)

    def newest_value(self, topic: str, key: str) -> Any:
        """Return the newest record of a key, or None."""
        with self._condition:
            for name, value in reversed(self._partition(topic).records):
                if name == key:
                    return json.loads(value) if value else None
            return None

    def keys(self, topic: str) -> list[str]:
        with self._condition:
            return [key for key, _ in self._partition(topic).records]

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        if self.is_down:
            return Reply(503)
        with self._condition:
            partition = self._partition(query["topic"])
            if path == "/log-append":
                return self._append(partition, query, body)
            if path == "/log-newest":
                return self._newest(partition, query)
            return self._read(partition, query)

    def _partition(self, topic: str) -> _Partition:
        return self._by_topic.setdefault(topic, _Partition())

    def _append(
        self, partition: _Partition, query: dict[str, str], body: bytes
    ) -> Reply:
        producer = query.get("producer")
        end = len(partition.records)
        if producer is not None:
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
        if "at" in query and int(query["at"]) != end:
            return json_reply({"end": end}, 412)
        partition.records += decode_records(body)
        answer = {"offset": end, "end": len(partition.records)}
        if producer is not None:
            partition.epochs[producer] = int(query["epoch"])
            answers = partition.answers.setdefault(producer, {})
            answers[int(query["seq"])] = json.dumps(answer).encode()
            for sequence in list(answers)[:-REPEATED_APPEND_COUNT]:
                del answers[sequence]
        self._condition.notify_all()
        return json_reply(answer)

    def _read(self, partition: _Partition, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        if start < partition.first:
            return json_reply({"first": partition.first}, 410)
        wait_s = int(query.get("wait-ms", "0")) / 1_000
        self._condition.wait_for(
            lambda: len(partition.records) > start, wait_s
        )
        head = struct.pack(">QQ", len(partition.records), partition.first)
        rows = partition.records[start:]
        return Reply(200, head + b"".join(encode_record(*row) for row in rows))

    def _newest(self, partition: _Partition, query: dict[str, str]) -> Reply:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(partition.records)
        }
        after = query.get("depends-on", "")
        names = [
            key for key in sorted(newest) if key > after and newest[key][1]
        ]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in names[:PAGE_RECORD_COUNT]
        ]
        more = len(names) > PAGE_RECORD_COUNT
        end = len(partition.records)
        return json_reply({"items": items, "more": more, "end": end})


class StandinRunner(HttpServer):
    """A worker on which every task takes ``task_s`` seconds."""

    def __init__(self, runner_id: str, task_s: float = 0.2) -> None:
        self.runner_id = runner_id
        self.started: list[tuple[str, int]] = []
        self._task_s = task_s
        self._condition = threading.Condition()
        self._token = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._ended: list[list[Any]] = []
        self._last_sequence = 0
        super().__init__()

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        expected_id = headers.get("HTTP_X_MAGNOLIAPITCH_EXPECT_INSTANCE")
        if expected_id != self.runner_id:
            return Reply(421)
        request = json.loads(body)
        with self._condition:
            if request.get("fencing-token", 0) < self._token:
                return self._reply(409, reason="fence")
            self._token = request["fencing-token"]
            if path == "/run-start":
                return self._start(request)
            if path == "/run-stop":
                self._running.pop(request["task"], None)
                return self._reply(200)
            return self._renew(request)

    def _start(self, request: dict[str, Any]) -> Reply:
        if request["ticket"] != "t":
            return self._reply(409, reason="ticket")
        name, run = request["task"], request["run-id"]
        if name not in self._running:
            self.started.append((name, run))
            self._running[name] = (run, time.monotonic() + self._task_s)
        return self._reply(200)

    def _renew(self, request: dict[str, Any]) -> Reply:
        acknowledged_sequence = request["ack-seq"]
        self._ended = [
            row for row in self._ended if row[0] > acknowledged_sequence
        ]
        until_s = time.monotonic() + request.get("wait-ms", 0) / 1_000
        while not self._collect() and time.monotonic() < until_s:
            self._condition.wait(0.02)
        running = [
            [name, run, "", 50] for name, (run, _) in self._running.items()
        ]
        return self._reply(200, running=running, **{"ended-runs": self._ended})

    def _collect(self) -> bool:
        now_s = time.monotonic()
        for name, (run, until_s) in list(self._running.items()):
            if until_s <= now_s:
                del self._running[name]
                self._last_sequence += 1
                self._ended.append(
                    [self._last_sequence, name, run, "done", ""]
                )
        return bool(self._ended)

    def _reply(self, status: int, **fields: object) -> Reply:
        clock_ms = int(time.monotonic() * 1_000)
        return json_reply({"clock-ms": clock_ms, **fields}, status)


class StandinAdvisor(HttpServer):
    """Advisor that permits every worker."""

    def handle(
        self, path: str, query: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        workers = json.loads(body)["workers"]
        return json_reply({"good": [[worker, "t"] for worker in workers]})


def _check_producer(
    partition: _Partition, query: dict[str, str]
) -> Reply | None:
    producer, epoch = query["producer"], int(query["epoch"])
    known_epoch = partition.epochs.get(producer, -1)
    if epoch < known_epoch:
        return json_reply({"reason": "fenced", "epoch": known_epoch}, 409)
    if epoch > known_epoch:
        partition.answers.pop(producer, None)
        return None
    answers = partition.answers.get(producer, {})
    answer = answers.get(int(query["seq"]))
    if answer is not None:
        return Reply(200, answer)
    expected = max(answers, default=int(query["seq"]) - 1) + 1
    if int(query["seq"]) != expected:
        return json_reply({"reason": "seq", "seq": expected}, 409)
    return None


def encode_record(key: str, value: bytes) -> bytes:
    data = bytes((len(key),)) + key.encode() + value
    return struct.pack(">I", len(data)) + data


def decode_records(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        data, body = body[4 : 4 + length], body[4 + length :]
        size = data[0]
        records.append((data[1 : 1 + size].decode(), data[1 + size :]))
    return records
