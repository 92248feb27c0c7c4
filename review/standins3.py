"""Stand-ins of the users' platform for the scripts of this review.

A program of its own: the store, the runners and the advisor, each on an
address of loopback, as PROTOCOL.md describes them. It reads its options as JSON from the
first argument, prints one line of JSON with the addresses, and ends when its
standard input is closed. Each line there is JSON: an array names runners that
crash and do not come back; an object, a runner that is without power for some
seconds and begins another life then. What runners begin and end goes to a file, one JSON
array a line.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import struct
import sys
import time

from urllib.parse import parse_qsl


LOOPBACK = "127.0.0.1"
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152
MAX_STORED_BYTES = 400 << 20
PAGE_RECORDS = 500
PAGE_BYTES = 1 << 20
READ_BYTES = 1 << 20
LISTED_ENDS = 500
STOP_TIMEOUT_S = 0.1
TICK_S = 0.02
# Longer than any caller waits for an answer.
SILENCE_S = 30.0
# A new life writes its entry within a beat.
FIRST_BEAT_S = 1.2


class HttpServer:
    """Answers HTTP/1.1 requests with ``handle``."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.server = None
        self.is_gone = False

    async def listen(self) -> str:
        server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, backlog=512, limit=1 << 23
        )
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        return f"{LOOPBACK}:{self.port}"

    async def handle(self, path, query, headers, body):
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                _, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                body = await reader.readexactly(length)
                if self.is_gone:
                    break
                path, _, text = target.partition("?")
                query = dict(parse_qsl(text))
                status, data = await self.handle(path, query, headers, body)
                if self.is_gone:
                    break
                if isinstance(data, (dict, list)):
                    data = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
                    .encode() + data
                )
                await writer.drain()
        writer.close()


class Partition:
    def __init__(self) -> None:
        self.first = 0
        self.rows = []
        self.newest = {}
        self.writers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.rows)


class Store(HttpServer):
    """The store: partition 0 of keyed topics, all that the project uses."""

    def __init__(self, keep_s: float, writes: int, reads: int, append_ms: float) -> None:
        super().__init__()
        self.bytes = 0
        self._keep_s = keep_s
        self._rates = {"write": writes, "read": reads}
        self._counts = {"write": [0, 0], "read": [0, 0]}
        self._append_s = append_ms / 1000
        self._by_topic = {}

    def partition(self, topic: str) -> Partition:
        return self._by_topic.setdefault(topic, Partition())

    def _expire(self, part: Partition) -> None:
        limit = time.monotonic() - self._keep_s
        count = 0
        for row in part.rows:
            if row[0] >= limit:
                break
            count += 1
        if count:
            del part.rows[:count]
            part.first += count

    def _allows(self, kind: str) -> bool:
        second = int(time.monotonic())
        count = self._counts[kind]
        if count[0] != second:
            count[0], count[1] = second, 0
        count[1] += 1
        return count[1] <= self._rates[kind]

    async def handle(self, path, query, headers, body):
        kind = "write" if path == "/log-append" else "read"
        if not self._allows(kind):
            return 429, {}
        part = self.partition(query.get("topic", ""))
        if path == "/log-append":
            return await self._append(part, query, body)
        if path == "/log-read":
            return await self._read(part, query)
        if path == "/log-newest":
            return self._newest(part, query)
        return 404, {}

    async def _append(self, part, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        if len(body) > MAX_CALL_BYTES:
            return 413, {}
        records = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            data = body[at + 4 : at + 4 + length]
            if length > MAX_RECORD_BYTES or not data:
                return 413, {}
            records.append(
                (data[1 : 1 + data[0]].decode(), data[1 + data[0] :])
            )
            at += 4 + length
        async with part.lock:
            await asyncio.sleep(self._append_s + len(body) / 20e6)
            if self.bytes + len(body) > MAX_STORED_BYTES:
                return 507, {}
            writer = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["seq"])
                writer = part.writers.get(query["producer"])
                if writer is not None and epoch < writer["epoch"]:
                    return 409, {"reason": "fenced"}
                if writer is None or epoch > writer["epoch"]:
                    writer = {"epoch": epoch, "next": sequence, "old": {}}
                if sequence in writer["old"]:
                    return 200, writer["old"][sequence]
                if sequence != writer["next"]:
                    return 409, {"reason": "seq", "seq": writer["next"]}
            if "at" in query and int(query["at"]) != part.end:
                return 412, {"end": part.end}
            offset = part.end
            self._expire(part)
            self._put(part, records)
            answer = {"offset": offset, "end": part.end}
            if writer is not None:
                writer["old"][sequence] = answer
                writer["next"] = sequence + 1
                for old in sorted(writer["old"])[:-5]:
                    del writer["old"][old]
                part.writers[query["producer"]] = writer
            return 200, answer

    def _put(self, part, records) -> None:
        now = time.monotonic()
        for key, value in records:
            former = part.newest.pop(key, None)
            if former is not None:
                self.bytes -= len(former[1])
            if value:
                part.newest[key] = (part.end, value)
                self.bytes += len(value)
            part.rows.append((now, key, value))
        grown, part.grown = part.grown, asyncio.Event()
        grown.set()

    def put(self, topic: str, key: str, value) -> None:
        """Append a record as the operator or a runner does."""
        data = b"" if value is None else json.dumps(value).encode()
        self._put(self.partition(topic), [(key, data)])

    async def _read(self, part, query):
        start = int(query["from"])
        self._expire(part)
        if start < part.first:
            return 410, {"first": part.first}
        wait_s = int(query.get("wait-ms", 0)) / 1000
        if start >= part.end and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(part.grown.wait(), wait_s)
        data = [struct.pack(">QQ", part.end, part.first)]
        size = 0
        for _, key, value in part.rows[max(0, start - part.first) :]:
            name = key.encode()
            row = bytes((len(name),)) + name + value
            size += 4 + len(row)
            if size > READ_BYTES and len(data) > 1:
                break
            data.append(struct.pack(">I", len(row)) + row)
        return 200, b"".join(data)

    def _newest(self, part, query):
        after = query.get("depends-on", "")
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:PAGE_RECORDS]:
            offset, value = part.newest[key]
            size += len(value)
            if items and size > PAGE_BYTES:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "more": more, "end": part.end}


class Runner(HttpServer):
    """A runner; ``spec`` may be JSON with the duration of tasks in ``ms``."""

    def __init__(self, name: str, options, log) -> None:
        super().__init__()
        self.name = name
        self.life = 1
        self.is_back = asyncio.Event()
        self.is_dark = False
        self._log = log
        self._max_hold_ms = options["max_hold_ms"]
        self._token = 0
        self._lease_ms = None
        self._runs = {}
        self._barred = {}
        self._ends = []
        self._sequence = 0
        self._ended = asyncio.Event()

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _record(self, event: str, *fields) -> None:
        row = [round(time.time(), 3), event, self.name, *fields]
        self._log.write(json.dumps(row) + "\n")
        self._log.flush()

    async def lose_power(self, seconds: float) -> None:
        """Answer nobody for some time; come back with another id."""
        self.is_dark = True
        self.is_back.clear()
        for key in self._runs:
            self._record("end", *key, "crashed")
        self._runs = {}
        await asyncio.sleep(seconds)
        self.life += 1
        self.name = f"{self.name.partition('-')[0]}-{self.life}"
        self._token = 0
        self._lease_ms = None
        self._barred, self._ends, self._sequence = {}, [], 0
        self.is_dark = False
        self.is_back.set()

    def crash(self) -> None:
        """End for good; nothing answers at the address any more."""
        self.is_gone = True
        self.server.close()
        for key in self._runs:
            self._record("end", *key, "crashed")
        self._runs = {}

    async def tick(self) -> None:
        while not self.is_gone:
            await asyncio.sleep(TICK_S)
            now_ms = self._now_ms()
            if self._lease_ms is not None and now_ms >= self._lease_ms:
                for key in list(self._runs):
                    self._end(key, "lapsed")
            for key, run in list(self._runs.items()):
                if now_ms >= run["until"]:
                    self._end(key, run["kind"])

    def _end(self, key, kind: str) -> None:
        if self._runs.pop(key, None) is None:
            return
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        self._sequence += 1
        self._ends.append([self._sequence, *key, kind, ""])
        self._record("end", *key, kind)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def _reply(self, status: int, **fields):
        return status, {"clock-ms": self._now_ms(), **fields}

    async def handle(self, path, query, headers, body):
        if self.is_dark:
            await asyncio.sleep(SILENCE_S)
            raise ConnectionResetError
        if headers.get("x-magnoliapitch-expect-instance") != self.name:
            return 421, {}
        call = json.loads(body)
        token = call.get("fencing-token", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        if path == "/run-start":
            return self._start(call)
        if path == "/run-stop":
            return self._stop(call)
        if path == "/hold":
            return await self._hold(call)
        return 404, {}

    def _extend(self, call) -> None:
        if "deadline-ms" in call:
            latest = self._now_ms() + self._max_hold_ms
            deadline = min(int(call["deadline-ms"]), latest)
            self._lease_ms = max(self._lease_ms or 0, deadline)

    def _start(self, call):
        key = (call["task"], int(call["run-id"]))
        if key in self._runs:
            return self._reply(200)
        if key[1] <= self._barred.get(key[0], 0):
            self._extend(call)
            return self._reply(409, reason="old")
        if int(call["deadline-ms"]) <= self._now_ms():
            return self._reply(409, reason="late")
        self._extend(call)
        spec = call.get("spec", "")
        duration_ms = 200
        with contextlib.suppress(ValueError, TypeError, KeyError):
            duration_ms = json.loads(spec)["ms"]
        self._runs[key] = {
            "until": self._now_ms() + duration_ms, "kind": "done",
        }
        self._record("start", *key)
        return self._reply(200)

    def _stop(self, call):
        key = (call["task"], int(call["run-id"]))
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        run = self._runs.get(key)
        if run is not None:
            run["until"] = min(
                run["until"], self._now_ms() + STOP_TIMEOUT_S * 1000
            )
            run["kind"] = "stopped"
        return self._reply(200)

    async def _hold(self, call):
        self._extend(call)
        acknowledged = int(call.get("ack-seq", 0))
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        wait_s = min(2_000, int(call.get("wait-ms", 0))) / 1000
        if wait_s and not self._ends:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        if self.is_dark:
            await asyncio.sleep(SILENCE_S)
            raise ConnectionResetError
        running = [[*key, "", 50, 0] for key in self._runs]
        ends = self._ends[:LISTED_ENDS]
        return self._reply(200, running=running, **{"ended-runs": ends})


class Advisor(HttpServer):
    """Permits every runner after the time that its queues name."""

    async def handle(self, path, query, headers, body):
        workers = json.loads(body)["workers"]
        await asyncio.sleep((5 + len(workers)) / 1000)
        return 200, {"good": [[worker, "t"] for worker in workers]}


async def beat(store: Store, runner: Runner, entry, interval_s: float) -> None:
    """Keep the entry of a runner in the store, until it is silent."""
    number = 0
    while not runner.is_gone:
        name = runner.name
        number += 1
        store.put("keyed.servers", name, {**entry, "seq": number})
        await asyncio.sleep(interval_s)
        if runner.is_dark:
            loop = asyncio.get_running_loop()
            delay_s = 2 * interval_s
            loop.call_later(delay_s, store.put, "keyed.servers", name, None)
            await runner.is_back.wait()
            await asyncio.sleep(FIRST_BEAT_S)
    await asyncio.sleep(2 * interval_s)
    store.put("keyed.servers", runner.name, None)


async def main(options) -> None:
    log = open(options["log"], "a", encoding="utf-8")
    store = Store(
        options.get("keep_s", 20), options.get("writes", 600),
        options.get("reads", 2000), options.get("append_ms", 4),
    )
    advisor = Advisor()
    addresses = {
        "store": await store.listen(), "advisor": await advisor.listen(),
    }
    store.put("keyed.op", "config", options["config"])
    tasks = []
    runners = {}
    other_kind = options.get("other_kind", 0)
    for number in range(options["runners"]):
        runner = Runner(f"i{number:02d}", options, log)
        entry = {
            "service": options["service"], "address": await runner.listen(),
            "zone": f"z{number % 3}", "version": "1", "slots": 8,
            "state": "ready", "cold-left-ms": 0,
            "capacity": {"cpu": options["cpu"], "mem-mb": options["mem_mb"]},
            "labels": [
                "b" if number >= options["runners"] - other_kind else "a",
                f"r1-{number // 8}",
            ],
        }
        runners[runner.name] = runner
        tasks.append(asyncio.create_task(runner.tick()))
        tasks.append(asyncio.create_task(beat(store, runner, entry, 1.5)))
    print(json.dumps(addresses), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = json.loads(line)
        if isinstance(command, list):
            for name in command:
                runners[name].crash()
        else:
            runner = runners[command["dark"]]
            tasks.append(
                asyncio.create_task(runner.lose_power(command["for_s"]))
            )
    log.close()
    # Without a traceback for each call that is under way.
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
