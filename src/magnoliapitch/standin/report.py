"""Results of a demonstration and their printed form."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.metric import ProcessUsage
from magnoliapitch.metric import TimerSummary


class DemoResult(NamedTuple):
    """Result of the demonstration of one deployment.

    :param deployment: name of the deployment.
    :param requests: number of requests sent.
    :param answered: number of requests with a correct response.
    :param not_run_attempts: number of attempts that were repeated because
        their verdict was ``not_run``.
    :param jobs: number of jobs planned.
    :param jobs_done: number of jobs done.
    :param waits_by_class: waiting times of requests and of tasks of each
        work class.
    :param mean_cpu_share: mean share of the workers' processors that tasks
        reserved, over the samples with running tasks.
    :param peak_cpu_share: highest such share.
    :param unreachable_instances: ids of the instances that were made
        unreachable during the run.
    :param entries: number of entry instances.
    :param usage_before: resource usage of the process before the workload.
    :param usage_after: resource usage of the process after the workload.
    :param problems: violations of guarantees.
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
    unreachable_instances: tuple[str, ...]
    entries: int
    usage_before: ProcessUsage
    usage_after: ProcessUsage
    problems: tuple[str, ...]


def print_result(result: DemoResult) -> None:
    """Print a result as text."""
    print(f"{result.deployment}: {result.entries} entry instances")
    print(
        f"  requests   {result.answered} of {result.requests} answered, "
        f"{result.not_run_attempts} attempts not run and sent again"
    )
    print(f"  jobs       {result.jobs_done} of {result.jobs} done")
    print(f"  lost       {', '.join(result.unreachable_instances)}")
    for name, summary in result.waits_by_class.items():
        print(
            f"  waiting    {name:<18} p50 {summary.p50_ms:8.1f} ms  "
            f"p99 {summary.p99_ms:8.1f} ms  of {summary.samples}"
        )
    print(
        f"  packing    {result.mean_cpu_share:.1%} of processors used on "
        f"average, {result.peak_cpu_share:.1%} at the peak"
    )
    _print_usage(result)
    for problem in result.problems:
        print(f"  VIOLATED   {problem}")


def _print_usage(result: DemoResult) -> None:
    before, after = result.usage_before, result.usage_after
    elapsed_s = after.elapsed_s - before.elapsed_s
    cpu_s = after.cpu_s - before.cpu_s
    share = cpu_s / elapsed_s / result.entries
    memory_mb = after.memory_bytes / (1 << 20)
    print(
        f"  control    {cpu_s:.1f} processor seconds in {elapsed_s:.1f} s, "
        f"{share:.1%} of a core per entry instance with its callers and "
        f"stand-ins, {memory_mb:.0f} MB in total"
    )
