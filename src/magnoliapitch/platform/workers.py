"""Client of the workers, which the platform calls runners."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.platform.names import decode_start
from magnoliapitch.platform.names import decode_task
from magnoliapitch.platform.names import encode_task
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import Incarnation


if TYPE_CHECKING:
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


# Names the incarnation of a worker that a call is meant for; another one at
# the same address refuses the call with status 421.
EXPECTED_WORKER_HEADER = "X-Magnoliapitch-Expect-Instance"
# A worker lists no more ended runs at a time.
MAX_LISTED_ENDS = 500

_CODE_BY_REASON = {
    "fence": FailureCode.FENCED,
    "old": FailureCode.STALE,
    "late": FailureCode.EXPIRED,
    "room": FailureCode.NO_ROOM,
    "ticket": FailureCode.TICKET,
}
_END_KIND_BY_NAME = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.MEMBER_ENDED,
    "alone": EndKind.MEMBERS_MISSING,
}


class PlatformWorkers:
    """Starts, stops and throttles runs on workers and renews their leases."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Start a run; return the worker's clock in ms."""
        body: dict[str, Any] = {
            "task": encode_task(order.task),
            "run-id": order.run,
            "spec": order.payload,
            "deadline-ms": order.deadline_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint-ref"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._call(worker, "/run-start", body, timeout_ms).and_then(
            _decode_clock
        )

    def stop(
        self, worker: WorkerInfo, order: StopOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Stop a run; return the worker's clock in ms."""
        body = _order_body(order)
        return self._call(worker, "/run-stop", body, timeout_ms).and_then(
            _decode_clock
        )

    def renew(
        self,
        worker: WorkerInfo,
        token: int,
        deadline_ms: int | None,
        acknowledged_sequence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extend the worker's lease and return its active and ended runs.

        :param deadline_ms: new end of the lease on the worker's clock; None
            to get the report without extending the lease.
        :param acknowledged_sequence: the worker may drop ended runs up to
            this sequence number.
        :param wait_ms: how long the worker may hold back its answer until
            another run ends.
        :param timeout_ms: how long the call may take beyond that.
        """
        body: dict[str, Any] = {
            "fencing-token": token,
            "ack-seq": acknowledged_sequence,
        }
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer = self._call(worker, "/hold", body, timeout_ms + wait_ms)
        return answer.and_then(
            lambda found: _check_incarnation(worker, found)
        ).and_then(_decode_report)

    def throttle(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        percent: int,
        timeout_ms: int,
    ) -> Result[int, Failure]:
        """Slow a run down to a share of its speed.

        :param percent: share of the full speed, in percent.
        :return: the worker's clock in ms, or the failure.
        """
        body = {**_order_body(order), "percent": percent}
        return self._call(worker, "/pace", body, timeout_ms).and_then(
            _decode_clock
        )

    def _call(
        self,
        worker: WorkerInfo,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, Failure]:
        headers = {
            "Content-Type": "application/json",
            EXPECTED_WORKER_HEADER: _incarnation_of(worker).name,
        }
        reply = self._client.exchange(
            "POST",
            f"http://{worker.address}{path}",
            timeout_ms,
            orjson.dumps(body),
            headers,
        )
        return reply.and_then(_check_status)


def _order_body(order: StopOrder) -> dict[str, Any]:
    return {
        "task": encode_task(order.task),
        "run-id": order.run,
        "fencing-token": order.token,
    }


def _check_status(reply: HttpReply) -> Result[Any, Failure]:
    detail = f"the worker answered with status {reply.status}"
    if reply.status in (429, 503):
        return Err(not_run(FailureCode.UNHEALTHY, detail))
    if reply.status == 421:
        return Err(not_run(FailureCode.REPLACED, detail))
    if reply.status in (400, 404):
        return Err(not_run(FailureCode.INVALID, detail))
    try:
        body = orjson.loads(reply.data)
    except ValueError:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))
    if reply.status == 200:
        return Ok(body)
    reason = body.get("reason") if isinstance(body, dict) else None
    code = _CODE_BY_REASON.get(reason or "")
    if reply.status == 409 and code is not None:
        return Err(not_run(code, f"{detail}: {reason}"))
    return Err(may_have_run(FailureCode.BAD_RESPONSE, detail))


def _incarnation_of(worker: WorkerInfo) -> Incarnation:
    return Incarnation.from_worker_id(worker.worker_id)


def _check_incarnation(worker: WorkerInfo, body: Any) -> Result[Any, Failure]:
    """Return the answer to a renewal if the worker that was meant gave it.

    The header of a call names the worker only, so that a restarted one
    carries it out.
    """
    expected_ms = _incarnation_of(worker).started_ms
    try:
        started_ms = decode_start(body)
    except (AttributeError, TypeError) as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, repr(error)))
    if expected_ms is None or started_ms in (None, expected_ms):
        return Ok(body)
    detail = f"the worker was started at {started_ms}, not at {expected_ms}"
    return Err(may_have_run(FailureCode.RESTARTED, detail))


def _decode_clock(body: Any) -> Result[int, Failure]:
    try:
        return Ok(int(body["clock-ms"]))
    except (KeyError, TypeError, ValueError) as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, repr(error)))


def _decode_report(body: Any) -> Result[WorkerReport, Failure]:
    try:
        ended = tuple(map(_decode_ended, body.get("ended-runs", ())))
        return Ok(
            WorkerReport(
                int(body["clock-ms"]),
                tuple(map(_decode_running, body.get("running", ()))),
                ended,
                len(ended) < MAX_LISTED_ENDS,
            )
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, repr(error)))


def _decode_running(row: list[Any]) -> ActiveRun:
    task, run, checkpoint, percent, *load = row
    return ActiveRun(
        decode_task(task),
        int(run),
        checkpoint or "",
        float(percent),
        float(load[0] or 0) if load else 0.0,
    )


def _decode_ended(row: list[Any]) -> EndedRun:
    sequence, task, run, kind, checkpoint = row
    return EndedRun(
        int(sequence),
        decode_task(task),
        int(run),
        _END_KIND_BY_NAME[kind],
        checkpoint or "",
    )
