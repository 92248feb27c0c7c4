"""Results of a demonstration run."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.metric import ProcessUsage
from magnoliapitch.metric import TimerSummary


class DemoResult(NamedTuple):
    """What a run of one deployment gave.

    :param waits_by_class: waiting times of requests and tasks by class.
    :param mean_cpu_share: mean share of processors in use while jobs ran.
    :param peak_cpu_share: highest such share.
    :param stopped_instances: instances lost midway.
    :param usage_before: cost of the process before the work.
    :param usage_after: cost of the process after it.
    :param problems: promises that were broken.
    """

    deployment: str
    requests: int
    answered: int
    not_run_attempts: int
    jobs: int
    jobs_done: int
    waits_by_class: dict[str, TimerSummary]
    mean_cpu_share: float
    peak_cpu_share: float
    stopped_instances: tuple[str, ...]
    entries: int
    usage_before: ProcessUsage
    usage_after: ProcessUsage
    problems: tuple[str, ...]


def print_result(result: DemoResult) -> None:
    """Print a result for a person."""
    print(f"{result.deployment}: {result.entries} entries")
    print(
        f"  requests   {result.answered} of {result.requests} answered, "
        f"{result.not_run_attempts} refused as not run and sent again"
    )
    print(f"  jobs       {result.jobs_done} of {result.jobs} done")
    print(f"  lost       {', '.join(result.stopped_instances)}")
    for name, summary in result.waits_by_class.items():
        print(
            f"  waiting    {name:<18} p50 {summary.p50_ms:8.1f} ms  "
            f"p99 {summary.p99_ms:8.1f} ms  of {summary.samples}"
        )
    print(
        f"  packing    {result.mean_cpu_share:.1%} of processors used in the "
        f"mean, {result.peak_cpu_share:.1%} at the peak"
    )
    _print_usage(result)
    for problem in result.problems:
        print(f"  BROKEN     {problem}")


def _print_usage(result: DemoResult) -> None:
    before, after = result.usage_before, result.usage_after
    elapsed_s = after.elapsed_s - before.elapsed_s
    cpu_s = after.cpu_s - before.cpu_s
    share = cpu_s / elapsed_s / result.entries
    memory_mb = after.memory_bytes / (1 << 20)
    print(
        f"  control    {cpu_s:.1f} processor seconds in {elapsed_s:.1f} s, "
        f"{share:.1%} of a core an entry with its callers and stand-ins, "
        f"{memory_mb:.0f} MB for all"
    )
