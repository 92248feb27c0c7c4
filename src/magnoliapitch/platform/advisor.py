"""Client of the platform's advisor."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.http.client import JSON_HEADERS
from magnoliapitch.platform.names import encode_step
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.worker import Incarnation


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.workload.job import StepKey


class PlatformAdvisor:
    """Asks the advisor which workers may run a step.

    :param address: ``IP:PORT`` of the advisor.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._url = f"http://{address}/advise"
        self._client = client

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return permits for those of the workers that may run the step.

        :param worker_ids: at most 100 workers.
        """
        id_by_name = {
            Incarnation.from_worker_id(worker_id).name: worker_id
            for worker_id in worker_ids
        }
        body = {"step": encode_step(step), "workers": list(id_by_name)}
        reply = self._client.exchange(
            "POST", self._url, timeout_ms, orjson.dumps(body), JSON_HEADERS
        )
        return reply.and_then(
            lambda received: _decode_permits(received, id_by_name)
        )


def _decode_permits(
    reply: HttpReply, id_by_name: Mapping[str, str]
) -> Result[tuple[Permit, ...], Failure]:
    """Decode the permits; workers that were not asked about are left out."""
    detail = f"the advisor answered with status {reply.status}"
    if reply.status == 429:
        return Err(not_run(FailureCode.OVERLOADED, detail))
    if reply.status != 200:
        return Err(may_have_run(FailureCode.UNAVAILABLE, detail))
    try:
        rows: Any = orjson.loads(reply.data)["good"]
        return Ok(
            tuple(
                Permit(id_by_name[row[0]], str(row[1]))
                for row in rows
                if row[0] in id_by_name
            )
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, repr(error)))
