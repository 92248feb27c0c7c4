"""Metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.metric.process_usage import ProcessUsage
    from magnoliapitch.metric.metrics import Metrics


CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "magnoliapitch"


def prometheus_text(metrics: Metrics, cost: ProcessUsage) -> str:
    """Return every metric as lines of ``name{label="..."} value``."""
    lines = [
        f"{PREFIX}_{name}_total{_labels(label)} {count}"
        for (name, label), count in sorted(metrics.counts().items())
    ]
    for (name, label), summary in sorted(metrics.timers().items()):
        base = f"{PREFIX}_{name}_ms"
        lines += [
            f"{base}{_labels(label, '0.5')} {summary.p50_ms}",
            f"{base}{_labels(label, '0.99')} {summary.p99_ms}",
            f"{base}_count{_labels(label)} {summary.samples}",
        ]
    lines += [
        f"{PREFIX}_process_{name} {value}"
        for name, value in cost._asdict().items()
    ]
    return "\n".join(lines) + "\n"


def _labels(label: str, quantile: str = "") -> str:
    pairs = []
    if label:
        pairs.append(f'label="{_escape(label)}"')
    if quantile:
        pairs.append(f'quantile="{quantile}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _escape(label: str) -> str:
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
