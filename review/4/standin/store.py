"""Stand-in for the platform's metadata store, on loopback.

It follows the section on the metadata store of PROTOCOL.md: appends with a
condition or a producer, long reads, and the newest record of each key. Each
append to a partition takes ``append-ms``, one after the other.
"""

from __future__ import annotations

import base64
import json
import struct
import threading
import time

from .web import Answer
from .web import WebServer


APPEND_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
READ_BYTES = 1 << 20
PAGE_RECORDS = 500
REMEMBERED_APPENDS = 5
# Topics that the system may not write to.
PLATFORM_TOPICS = ("keyed.op", "keyed.servers")


class _Producer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.sequence = None
        self.answers = {}


class _Partition:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.append_lock = threading.Lock()


class Store(WebServer):
    """The store; partition 0 of keyed topics only.

    :ivar refused_sizes: sizes of records that were refused as too large.
    :ivar is_down: whether every call of the system gets 503.
    """

    def __init__(self, ip):
        self._changed = threading.Condition()
        self._partitions = {}
        self.refused_sizes = []
        self.is_down = False
        super().__init__(ip)

    def put(self, topic, key, value):
        """Append a record as the operator or a runner does."""
        data = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._partition(topic).records.append((key, data))
            self._changed.notify_all()

    def newest(self, topic):
        """Return the newest value of each key that has one."""
        with self._changed:
            found = dict(self._partition(topic).records)
        return {key: value for key, value in found.items() if value}

    def records(self, topic):
        """Return all records of a topic, oldest first."""
        with self._changed:
            return list(self._partition(topic).records)

    def handle(self, method, path, query, headers, body):
        if path not in ("/log-append", "/log-read", "/log-newest"):
            return Answer(404)
        if self.is_down:
            return Answer(503)
        topic = query.get("topic", "")
        if not topic.startswith("keyed.") or query.get("part") != "0":
            return Answer(400)
        with self._changed:
            partition = self._partition(topic)
        if path == "/log-append":
            if topic in PLATFORM_TOPICS:
                return Answer(403)
            return self._append(partition, query, body)
        if path == "/log-read":
            return self._read(partition, query)
        return self._newest_page(partition, query)

    def _partition(self, topic):
        return self._partitions.setdefault(topic, _Partition())

    def _append(self, partition, query, body):
        records = _decode_records(body)
        sizes = [1 + len(key.encode()) + len(value) for key, value in records]
        if len(body) > CALL_BYTES or max(sizes, default=0) > RECORD_BYTES:
            self.refused_sizes.append((max(sizes, default=0), len(body)))
            return Answer.of({"reason": "size"}, 400)
        with partition.append_lock:
            time.sleep(APPEND_S)
            with self._changed:
                answer = self._append_now(partition, query, records)
                self._changed.notify_all()
        return answer

    def _append_now(self, partition, query, records):
        end = len(partition.records)
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known = partition.producers.get(query["producer"])
            if known is not None and epoch < known.epoch:
                return Answer.of({"reason": "fenced"}, 409)
            if known is not None and epoch == known.epoch:
                if sequence in known.answers:
                    return known.answers[sequence]
                expected = known.sequence + 1
                if sequence != expected:
                    return Answer.of({"reason": "seq", "seq": expected}, 409)
            producer = known
            if producer is None or producer.epoch != epoch:
                producer = _Producer(epoch)
        if "at" in query and int(query["at"]) != end:
            return Answer.of({"end": end}, 412)
        partition.records += records
        answer = Answer.of({"offset": end, "end": len(partition.records)})
        if producer is not None:
            partition.producers[query["producer"]] = producer
            producer.sequence = sequence
            producer.answers[sequence] = answer
            producer.answers.pop(sequence - REMEMBERED_APPENDS, None)
        return answer

    def _read(self, partition, query):
        start = int(query["from"])
        wait_s = int(query.get("wait-ms", "0")) / 1_000
        with self._changed:
            self._changed.wait_for(
                lambda: len(partition.records) > start, wait_s
            )
            end = len(partition.records)
            rows = partition.records[start:]
        parts = [struct.pack(">QQ", end, 0)]
        size = 0
        for key, value in rows:
            data = bytes((len(key.encode()),)) + key.encode() + value
            size += len(data)
            if size > READ_BYTES:
                break
            parts += (struct.pack(">I", len(data)), data)
        return Answer(200, b"".join(parts), "application/octet-stream")

    def _newest_page(self, partition, query):
        with self._changed:
            rows = list(partition.records)
        newest = {}
        for offset, (key, value) in enumerate(rows):
            newest[key] = (offset, value)
        after = query.get("depends-on", "")
        keys = sorted(
            key for key, (_, value) in newest.items() if value and key > after
        )
        items = []
        size = 0
        for key in keys[:PAGE_RECORDS]:
            offset, value = newest[key]
            size += len(value)
            if items and size > READ_BYTES:
                break
            items.append(
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        more = len(items) < len(keys)
        return Answer.of({"items": items, "more": more, "end": len(rows)})


def _decode_records(body):
    records = []
    start = 0
    while start < len(body):
        (length,) = struct.unpack_from(">I", body, start)
        data = body[start + 4 : start + 4 + length]
        start += 4 + length
        key_size = data[0]
        key = data[1 : 1 + key_size].decode()
        records.append((key, data[1 + key_size :]))
    return records
