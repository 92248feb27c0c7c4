"""The ``bench decisions`` command."""

from __future__ import annotations

from pathlib import Path

from magnoliapitch.bench.decisions import DEPLOYMENTS
from magnoliapitch.bench.decisions import make_traces
from magnoliapitch.bench.decisions.report import plot
from magnoliapitch.bench.decisions.report import scaling_table
from magnoliapitch.bench.decisions.report import table
from magnoliapitch.bench.decisions.report import to_json
from magnoliapitch.bench.decisions.scale import measure_scaling
from magnoliapitch.bench.decisions.suite import run_suite
from magnoliapitch.console.bench import bench


@bench.command(name="decisions")
def decisions(
    *,
    seed: int = 1,
    scale: float = 0.5,
    sizes: bool = True,
    json: Path | None = None,
    png: Path | None = None,
) -> None:
    """Compare the scheduling policies on generated workload traces.

    :param seed: random seed of the traces.
    :param scale: time span in which work arrives, as a share of one hour.
    :param sizes: also measure how the cost of decisions grows with the
        number of workers and the queue length.
    :param json: file to write the results to, as JSON.
    :param png: file to write the plot to; needs the optional extra
        ``plot``.
    """
    results = run_suite(make_traces(DEPLOYMENTS, seed, scale))
    print(table(results))
    if sizes:
        print(f"\n{scaling_table(measure_scaling())}")
    if json is not None:
        json.write_bytes(to_json(results))
    if png is not None:
        plot(results, png)
