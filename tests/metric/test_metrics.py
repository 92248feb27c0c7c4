from __future__ import annotations

import socket

from magnoliapitch.metric import Metrics
from magnoliapitch.metric import ProcessUsageMeter
from magnoliapitch.metric import prometheus_text


PAYLOAD = b"x" * 50_000


def test_timer_summary_is_accurate_to_two_digits() -> None:
    metrics = Metrics()
    for duration_ms in range(1, 1_001):
        metrics.observe("wait", duration_ms, "urgent")
    summary = metrics.timers()["wait", "urgent"]
    assert summary.samples == 1_000
    assert abs(summary.p50_ms - 500) <= 5
    assert abs(summary.p99_ms - 990) <= 10
    assert abs(summary.max_ms - 1_000) <= 10


def test_metrics_are_exported_in_prometheus_format() -> None:
    metrics = Metrics()
    metrics.count("requests", 'a"b\n', 3)
    metrics.observe("wait", 2.0)
    lines = prometheus_text(metrics, ProcessUsageMeter().read()).splitlines()
    assert 'magnoliapitch_requests_total{label="a\\"b\\n"} 3' in lines
    assert "magnoliapitch_wait_ms_count 1" in lines
    names = {line.split("{")[0].split(" ")[0] for line in lines}
    assert "magnoliapitch_process_cpu_s" in names


def test_usage_includes_bytes_of_closed_connections() -> None:
    meter = ProcessUsageMeter()
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        before = meter.read()
        with server.accept()[0] as accepted:
            client.sendall(PAYLOAD)
            received_bytes = 0
            while received_bytes < len(PAYLOAD):
                received_bytes += len(accepted.recv(65_536))
            during = meter.read()
        client.close()
    after = meter.read()
    increase_bytes = during.received_bytes - before.received_bytes
    assert increase_bytes >= len(PAYLOAD)
    assert after.received_bytes >= during.received_bytes
    assert during.memory_bytes > 1_000_000
    assert during.cpu_s > 0
