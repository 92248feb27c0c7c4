"""Tables, JSON and plots of the results."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from pathlib import Path

    from magnoliapitch.bench.decisions.result import RunResult
    from magnoliapitch.bench.decisions.scale import DecisionCost


RESULT_COLUMNS = (
    "policy",
    "urgent p50/p99/max s",
    "service p99 s",
    "batch p50/p99 s",
    "gang p50/p99 s",
    "deadlines",
    "packing",
    "volume",
    "fair",
    "lost core-s",
    "evicted",
    "failed",
    "end s",
    "p50/p99 us",
    "cpu us/start",
)
SCALING_COLUMNS = (
    "workers",
    "queued",
    "starts/s",
    "p50/p99 us",
    "probes/start",
    "memory MB",
)


def table(results: list[RunResult]) -> str:
    """Return the results as text, one table for each trace."""
    tables = []
    for fleet, trace in dict.fromkeys((r.fleet, r.trace) for r in results):
        trace_results = [
            r for r in results if (r.fleet, r.trace) == (fleet, trace)
        ]
        rows = [RESULT_COLUMNS, *(_row(result) for result in trace_results)]
        tables.append("\n".join((f"{fleet}, {trace}", *_aligned_lines(rows))))
    return "\n\n".join(tables)


def scaling_table(costs: list[DecisionCost]) -> str:
    """Return the decision costs by size as a text table."""
    rows = [
        (
            str(cost.workers),
            str(cost.queued),
            f"{cost.starts_per_second:.0f}",
            f"{cost.decision_p50_us:.0f}/{cost.decision_p99_us:.0f}",
            f"{cost.examined_per_start:.1f}",
            f"{cost.resident_mb:.0f}",
        )
        for cost in costs
    ]
    return "\n".join(_aligned_lines([SCALING_COLUMNS, *rows]))


def to_json(results: list[RunResult]) -> bytes:
    """Return the results as JSON."""
    values = []
    for result in results:
        value = result._asdict()
        value["cost"] = result.cost._asdict()
        value["samples"] = [item._asdict() for item in result.samples]
        value["waits_by_class"] = {
            name: item._asdict()
            for name, item in result.waits_by_class.items()
        }
        values.append(value)
    return orjson.dumps(values, option=orjson.OPT_INDENT_2)


def plot(results: list[RunResult], path: Path) -> None:
    """Draw processor use over time; needs the optional extra ``plot``."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    traces = list(dict.fromkeys((r.fleet, r.trace) for r in results))
    figure, axes = pyplot.subplots(
        len(traces), 1, figsize=(10, 3 * len(traces)), squeeze=False
    )
    for row, key in zip(axes, traces, strict=True):
        for result in results:
            if (result.fleet, result.trace) == key:
                _draw(row[0], result)
        row[0].set_title(", ".join(key))
        row[0].set_ylabel("processors used")
        row[0].legend(fontsize="small")
    axes[-1][0].set_xlabel("minutes")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _aligned_lines(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _draw(axis: Any, result: RunResult) -> None:
    axis.plot(
        [sample.at_ms / 60_000 for sample in result.samples],
        [
            sample.used_millis / max(1, sample.capacity_millis)
            for sample in result.samples
        ],
        label=result.policy,
        linewidth=0.8,
    )


def _row(result: RunResult) -> tuple[str, ...]:
    waits = result.waits_by_class
    urgent, service = waits["urgent"], waits["service"]
    batch, gang = waits["batch"], waits["gang"]
    deadlines_met = f"{result.deadlines_met}/{result.deadlines_feasible}"
    return (
        result.policy,
        f"{_seconds(urgent.p50_ms)}/{_seconds(urgent.p99_ms)}/"
        f"{_seconds(urgent.max_ms)}",
        _seconds(service.p99_ms),
        f"{_seconds(batch.p50_ms)}/{_seconds(batch.p99_ms)}",
        f"{_seconds(gang.p50_ms)}/{_seconds(gang.p99_ms)}",
        deadlines_met,
        f"{result.packing:.3f}",
        f"{result.volume_packing:.3f}",
        f"{result.fairness:.2f}",
        f"{result.lost_core_s:.0f}",
        str(sum(result.evictions_by_action.values())),
        str(result.failures),
        _seconds(result.ended_ms),
        f"{result.cost.p50_us:.0f}/{result.cost.p99_us:.0f}",
        f"{result.cost.cpu_us_per_start:.0f}",
    )


def _seconds(duration_ms: int) -> str:
    return f"{duration_ms / 1_000:.1f}"
