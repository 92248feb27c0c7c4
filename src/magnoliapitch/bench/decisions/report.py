"""Table, JSON and plot of the results."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson


if TYPE_CHECKING:
    from pathlib import Path

    from magnoliapitch.bench.decisions.result import RunResult
    from magnoliapitch.bench.decisions.scale import DecisionCost


HEADER = (
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
SCALING_HEADER = (
    "workers",
    "queued",
    "starts/s",
    "p50/p99 us",
    "probes/start",
    "memory MB",
)


def table(results: list[RunResult]) -> str:
    """Return the results as text, a table for each trace."""
    parts = []
    for fleet, trace in dict.fromkeys((r.fleet, r.trace) for r in results):
        chosen = [r for r in results if (r.fleet, r.trace) == (fleet, trace)]
        rows = [HEADER, *(_row(result) for result in chosen)]
        parts.append("\n".join((f"{fleet}, {trace}", *_aligned(rows))))
    return "\n\n".join(parts)


def scaling_table(costs: list[DecisionCost]) -> str:
    """Return the costs by size as text."""
    rows = [
        (
            str(cost.workers),
            str(cost.queued),
            f"{cost.starts_per_second:.0f}",
            f"{cost.decision_p50_us:.0f}/{cost.decision_p99_us:.0f}",
            f"{cost.probes_per_start:.1f}",
            f"{cost.resident_mb:.0f}",
        )
        for cost in costs
    ]
    return "\n".join(_aligned([SCALING_HEADER, *rows]))


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


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
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
    met = f"{result.deadlines_met}/{result.deadlines_feasible}"
    return (
        result.policy,
        f"{_s(urgent.p50_ms)}/{_s(urgent.p99_ms)}/{_s(urgent.max_ms)}",
        _s(service.p99_ms),
        f"{_s(batch.p50_ms)}/{_s(batch.p99_ms)}",
        f"{_s(gang.p50_ms)}/{_s(gang.p99_ms)}",
        met,
        f"{result.packing:.3f}",
        f"{result.volume_packing:.3f}",
        f"{result.fairness:.2f}",
        f"{result.lost_core_s:.0f}",
        str(sum(result.evictions_by_action.values())),
        str(result.failures),
        _s(result.ended_ms),
        f"{result.cost.p50_us:.0f}/{result.cost.p99_us:.0f}",
        f"{result.cost.cpu_us_per_start:.0f}",
    )


def _s(duration_ms: int) -> str:
    return f"{duration_ms / 1_000:.1f}"
