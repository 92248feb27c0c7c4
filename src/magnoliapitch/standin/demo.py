"""Demonstration: a workload during which instances fail, with checks."""

from __future__ import annotations

import threading
import time

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.job.spec import parse_lease_id
from magnoliapitch.metric import ProcessUsageMeter
from magnoliapitch.metric import Timer
from magnoliapitch.resource import Resources
from magnoliapitch.settings import TimingSettings
from magnoliapitch.standin.audit import AuditedWorkers
from magnoliapitch.standin.caller import RequestSender
from magnoliapitch.standin.cluster import ClusterOptions
from magnoliapitch.standin.cluster import ClusterShape
from magnoliapitch.standin.report import DemoResult
from magnoliapitch.standin.serving import ServingCluster
from magnoliapitch.standin.submitter import JobSubmitter


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.entry.node import EntryNode
    from magnoliapitch.standin.caller import RequestOutcome
    from magnoliapitch.standin.deployment import Deployment
    from magnoliapitch.standin.submitter import SubmittedJob


QUETZALTENANGO_SHAPE = ClusterShape(
    ("xela-norte", "xela-centro", "totonicapan"),
    "clubes-app",
    Resources(32_000, 131_072, 1),
)

LEASE_TTL_MS = 2_000
CALLER_THREADS = 16
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 20


class Demo:
    """One run of a deployment's workload.

    While it runs, a worker and a backend server become unreachable.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._serving = ServingCluster(
            deployment,
            options=ClusterOptions(
                TimingSettings(lease_ttl_ms=LEASE_TTL_MS),
                CALLER_THREADS,
                AuditedWorkers,
            ),
        )
        workers = self._serving.cluster.workers
        assert isinstance(workers, AuditedWorkers)
        self._workers = workers
        self._problems: list[str] = []
        self._unreachable_instances: list[str] = []
        self._cpu_shares: list[float] = []
        self._jobs: list[SubmittedJob] = []
        self._done_job_ids: set[str] = set()
        self._outcomes: list[RequestOutcome] = []

    def run(self) -> DemoResult:
        """Run the workload, check the guarantees and return the result."""
        self._serving.start(self._deployment.entries)
        try:
            return self._run()
        finally:
            self._serving.stop()

    def _run(self) -> DemoResult:
        if not wait_until(lambda: all(map(self._is_serving, self._nodes))):
            self._problems.append(
                f"not all entry instances were ready within {TIMEOUT_S} s"
            )
        meter = ProcessUsageMeter()
        before = meter.read()
        self._run_workload()
        after = meter.read()
        self._check_guarantees()
        return DemoResult(
            deployment=self._deployment.name,
            requests=len(self._outcomes),
            answered=sum(item.answered for item in self._outcomes),
            not_run_attempts=sum(
                len(item.not_run_ids) for item in self._outcomes
            ),
            jobs=sum(plan.jobs for plan in self._deployment.jobs),
            jobs_done=len(self._done_job_ids),
            waits_by_class={
                name: timer.summary()
                for name, timer in self._wait_timers().items()
            },
            mean_cpu_share=sum(self._cpu_shares)
            / max(len(self._cpu_shares), 1),
            peak_cpu_share=max(self._cpu_shares, default=0.0),
            unreachable_instances=tuple(self._unreachable_instances),
            entries=len(self._nodes),
            usage_before=before,
            usage_after=after,
            problems=(*self._problems, *self._workers.problems()),
        )

    @property
    def _nodes(self) -> list[EntryNode]:
        return self._serving.cluster.entries

    def _is_serving(self, node: EntryNode) -> bool:
        shape = self._serving.cluster.shape
        with node.core.journal.locked_state() as state:
            return (
                node.core.is_ready()
                and len(state.claims_by_unit) == 2 * len(shape.zones)
                and len(state.catalogue_by_name)
                == len(self._deployment.catalogue)
            )

    def _run_workload(self) -> None:
        urls = [
            f"http://127.0.0.1:{node.caller_listener.port}"
            for node in self._nodes
        ]
        ended = threading.Event()
        with ThreadPoolExecutor(3) as threads:
            sampling = threads.submit(self._sample_cpu_share, ended)
            requests = threads.submit(
                RequestSender(urls).send_all, self._deployment.requests
            )
            disconnecting = threads.submit(self._disconnect_instances)
            try:
                self._run_jobs(JobSubmitter(urls))
                self._outcomes = requests.result()
                disconnecting.result()
            finally:
                ended.set()
                sampling.result()

    def _run_jobs(self, submitter: JobSubmitter) -> None:
        classes_by_entry = {
            entry.name: entry.work_class
            for entry in self._deployment.catalogue
        }
        for plan in self._deployment.jobs:
            for number in range(plan.jobs):
                job = submitter.submit(
                    plan, number, classes_by_entry[plan.entry]
                )
                if job is not None:
                    self._jobs.append(job)
        deadline_s = time.monotonic() + TIMEOUT_S
        for job in self._jobs:
            self._wait_for_end(submitter, job, deadline_s)

    def _wait_for_end(
        self, submitter: JobSubmitter, job: SubmittedJob, deadline_s: float
    ) -> None:
        if job.work_class is WorkClass.SERVICE:
            if not wait_until(
                lambda: self._count_started_tasks(job) == job.tasks, deadline_s
            ):
                return
            submitter.cancel(job)
        if wait_until(lambda: submitter.is_done(job), deadline_s):
            self._done_job_ids.add(job.job_id)

    def _count_started_tasks(self, job: SubmittedJob) -> int:
        keys = [parse_lease_id(i.lease_id) for i in self._workers.history]
        return len(
            {key.task for key in keys if key and key.job_id == job.job_id}
        )

    def _disconnect_instances(self) -> None:
        wait_until(lambda: self._workers.find_running_worker() is not None)
        worker_id = self._workers.find_running_worker()
        if worker_id is None:
            self._problems.append("found no reachable worker that runs a task")
            return
        self._workers.by_id[worker_id].down = True
        self._unreachable_instances.append(worker_id)
        backends = self._serving.cluster.backends
        wait_until(lambda: len(backends.history) > 0)
        server_id = backends.history[-1].server_id
        backends.down.add(server_id)
        self._unreachable_instances.append(server_id)

    def _sample_cpu_share(self, ended: threading.Event) -> None:
        while not ended.wait(POLL_INTERVAL_S):
            share = self._workers.reserved_cpu_share()
            if share:
                self._cpu_shares.append(share)

    def _wait_timers(self) -> dict[str, Timer]:
        timers: dict[str, Timer] = {}
        request_ms = self._deployment.request_ms
        for item in self._outcomes:
            timer = timers.setdefault("small requests", Timer())
            timer.record(item.elapsed_ms - request_ms)
        jobs_by_id = {job.job_id: job for job in self._jobs}
        started: set[tuple[str, int]] = set()
        for start in self._workers.history:
            key = parse_lease_id(start.lease_id)
            job = jobs_by_id.get(key.job_id) if key else None
            if job is None or key is None:
                continue
            if (key.job_id, key.task) in started:
                continue
            started.add((key.job_id, key.task))
            wait_class = f"{job.work_class.value} tasks"
            timer = timers.setdefault(wait_class, Timer())
            timer.record(start.at_ms - job.accepted_ms)
        return timers

    def _check_guarantees(self) -> None:
        history = self._serving.cluster.backends.history
        runs_by_attempt = Counter(item.request_id for item in history)
        runs_by_request = Counter(
            item.request_id.rpartition(".")[0] for item in history
        )
        non_idempotent = {
            entry.name
            for entry in self._deployment.catalogue
            if not entry.idempotent
        }
        for item in self._outcomes:
            self._check_outcome(item, runs_by_attempt)
            if (
                item.entry in non_idempotent
                and runs_by_request[item.request_id] > 1
            ):
                self._problems.append(
                    f"request {item.request_id} ran more than once, "
                    "but its entry is not idempotent"
                )
        for plan in self._deployment.jobs:
            for number in range(plan.jobs):
                job_id = f"{plan.entry}-{number}"
                if job_id not in self._done_job_ids:
                    self._problems.append(f"job {job_id} did not finish")

    def _check_outcome(
        self, item: RequestOutcome, runs_by_attempt: Counter[str]
    ) -> None:
        if item.problem:
            self._problems.append(item.problem)
        elif not item.answered and not item.may_have_run:
            self._problems.append(
                f"every attempt of request {item.request_id} was refused"
            )
        self._problems.extend(
            f"attempt {attempt_id} had the verdict not_run, but it ran"
            for attempt_id in item.not_run_ids
            if runs_by_attempt[attempt_id]
        )


def wait_until(
    condition: Callable[[], bool], deadline_s: float | None = None
) -> bool:
    """Wait until a condition holds; return whether it did before a deadline.

    :param deadline_s: monotonic time in seconds, by default ``TIMEOUT_S``
        from now.
    """
    if deadline_s is None:
        deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() >= deadline_s:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True
