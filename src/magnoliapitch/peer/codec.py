"""Conversion between the Python messages and their Cap'n Proto form."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import capnp

from result import Err
from result import Ok
from result import Result

from magnoliapitch.journal.log import LogRecord
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import Heartbeat
from magnoliapitch.peer.message import LogPage
from magnoliapitch.peer.message import MemberInfo
from magnoliapitch.peer.message import UnitLoad
from magnoliapitch.peer.message import ZoneInfo
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


schema: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))

NO_RETRY_AFTER_MS = -1  # encodes a failure without a retry delay


def heartbeat_to_dict(heartbeat: Heartbeat) -> dict[str, Any]:
    """Return the Cap'n Proto fields of a heartbeat."""
    return {
        "instanceId": heartbeat.instance_id,
        "incarnation": heartbeat.incarnation,
        "zone": heartbeat.zone,
        "nextOffset": heartbeat.next_offset,
        "logAgeMs": heartbeat.log_age_ms,
        "leaving": heartbeat.leaving,
        "loads": [_load_to_dict(load) for load in heartbeat.loads],
        "members": [_member_to_dict(member) for member in heartbeat.members],
        "peerAddress": heartbeat.peer_address,
        "seenOffset": heartbeat.seen_offset,
        "complete": heartbeat.complete,
        "zones": [_zone_to_dict(zone) for zone in heartbeat.zones],
    }


def heartbeat_from(reader: Any) -> Heartbeat:
    """Decode a heartbeat from a Cap'n Proto reader."""
    return Heartbeat(
        reader.instanceId,
        reader.incarnation,
        reader.zone,
        reader.nextOffset,
        reader.logAgeMs,
        reader.leaving,
        tuple(_load_from(load) for load in reader.loads),
        tuple(_member_from(member) for member in reader.members),
        reader.peerAddress,
        reader.seenOffset,
        reader.complete,
        tuple(_zone_from(zone) for zone in reader.zones),
    )


def request_to_dict(request: ForwardedRequest) -> dict[str, Any]:
    """Return the Cap'n Proto fields of a forwarded request."""
    return {
        "requestId": request.request_id,
        "entry": request.entry,
        "body": request.body,
        "timeoutMs": request.timeout_ms,
        "ticket": request.ticket,
        "key": request.key,
    }


def request_from(reader: Any) -> ForwardedRequest:
    """Decode a forwarded request from a Cap'n Proto reader."""
    return ForwardedRequest(
        reader.requestId,
        reader.entry,
        bytes(reader.body),
        reader.timeoutMs,
        reader.ticket,
        reader.key,
    )


def answer_to_dict(
    request_id: str, outcome: Result[ForwardedAnswer, Failure]
) -> dict[str, Any]:
    """Return the Cap'n Proto fields of an answer or a failure.

    :param request_id: id of the request, used if it failed.
    """
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        return {
            "requestId": answer.request_id,
            "status": answer.status,
            "body": answer.body,
            "retryAfterMs": NO_RETRY_AFTER_MS,
            "contentType": answer.content_type,
        }
    failure = outcome.err_value
    retry_after_ms = failure.retry_after_ms
    return {
        "requestId": request_id,
        "verdict": failure.verdict.value,
        "code": failure.code.value,
        "detail": failure.detail,
        "retryAfterMs": NO_RETRY_AFTER_MS
        if retry_after_ms is None
        else retry_after_ms,
    }


def answer_from(reader: Any) -> Result[ForwardedAnswer, Failure]:
    """Decode an answer or a failure from a Cap'n Proto reader.

    :raises ValueError: if the verdict or the failure code is unknown.
    """
    if not reader.verdict:
        return Ok(
            ForwardedAnswer(
                reader.requestId,
                reader.status,
                bytes(reader.body),
                reader.contentType,
            )
        )
    retry_after_ms = reader.retryAfterMs
    return Err(
        Failure(
            Verdict(reader.verdict),
            FailureCode(reader.code),
            reader.detail,
            None if retry_after_ms < 0 else retry_after_ms,
        )
    )


def page_to_dict(page: LogPage) -> dict[str, Any]:
    """Return the Cap'n Proto fields of a page of log records."""
    return {
        "records": [
            {"offset": record.offset, "data": record.data}
            for record in page.records
        ],
        "nextOffset": page.next_offset,
        "logAgeMs": page.log_age_ms,
    }


def page_from(reader: Any) -> LogPage:
    """Decode a page of log records from a Cap'n Proto reader."""
    return LogPage(
        tuple(
            LogRecord(item.offset, bytes(item.data)) for item in reader.records
        ),
        reader.nextOffset,
        reader.logAgeMs,
    )


def _load_to_dict(load: UnitLoad) -> dict[str, Any]:
    return {
        "unit": load.unit,
        "freeCpuMillis": load.free.cpu_millis,
        "freeMemoryMb": load.free.memory_mb,
        "freeAccelerators": load.free.accelerators,
        "queued": load.queued,
        "freeSlots": load.free_slots,
    }


def _load_from(reader: Any) -> UnitLoad:
    return UnitLoad(
        reader.unit,
        Resources(
            reader.freeCpuMillis, reader.freeMemoryMb, reader.freeAccelerators
        ),
        reader.queued,
        reader.freeSlots,
    )


def _member_to_dict(member: MemberInfo) -> dict[str, Any]:
    return {
        "instanceId": member.instance_id,
        "incarnation": member.incarnation,
        "zone": member.zone,
        "peerAddress": member.peer_address,
        "nextOffset": member.next_offset,
        "ageMs": member.age_ms,
        "direct": member.direct,
    }


def _member_from(reader: Any) -> MemberInfo:
    return MemberInfo(
        reader.instanceId,
        reader.incarnation,
        reader.zone,
        reader.peerAddress,
        reader.nextOffset,
        reader.ageMs,
        reader.direct,
    )


def _zone_to_dict(zone: ZoneInfo) -> dict[str, Any]:
    return {
        "zone": zone.zone,
        "minOffset": zone.min_offset,
        "slowest": zone.slowest,
        "live": zone.live,
        "silent": zone.silent,
        "ageMs": zone.age_ms,
    }


def _zone_from(reader: Any) -> ZoneInfo:
    return ZoneInfo(
        reader.zone,
        reader.minOffset,
        reader.slowest,
        reader.live,
        reader.silent,
        reader.ageMs,
    )
