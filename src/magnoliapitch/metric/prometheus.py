"""Formats metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.metric.metrics import Metrics
    from magnoliapitch.metric.process_usage import ProcessUsage


CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "magnoliapitch"


def prometheus_text(metrics: Metrics, usage: ProcessUsage) -> str:
    """Return every metric as a line ``name{label="..."} value``.

    :param metrics: counters and timers.
    :param usage: resource usage of the process.
    """
    lines = [
        f"{METRIC_PREFIX}_{name}_total{_format_labels(label)} {count}"
        for (name, label), count in sorted(metrics.counts().items())
    ]
    for (name, label), summary in sorted(metrics.timers().items()):
        metric_name = f"{METRIC_PREFIX}_{name}_ms"
        lines += [
            f"{metric_name}{_format_labels(label, '0.5')} {summary.p50_ms}",
            f"{metric_name}{_format_labels(label, '0.99')} {summary.p99_ms}",
            f"{metric_name}_count{_format_labels(label)} {summary.samples}",
        ]
    lines += [
        f"{METRIC_PREFIX}_process_{name} {value}"
        for name, value in usage._asdict().items()
    ]
    return "\n".join(lines) + "\n"


def _format_labels(label: str, quantile: str = "") -> str:
    pairs = []
    if label:
        pairs.append(f'label="{_escape_label(label)}"')
    if quantile:
        pairs.append(f'quantile="{quantile}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _escape_label(label: str) -> str:
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
