"""The operators' configuration as the platform writes it."""

from __future__ import annotations

from typing import Any

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import AdvicePolicy
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import RequestLimits
from magnoliapitch.workload.configuration import Service


DEFAULT_LIMITS = RequestLimits()


def configuration_from(body: Any) -> Configuration:
    """Decode a configuration.

    :raises KeyError, TypeError, ValueError: if it cannot be read.
    """
    queues = [_queue_from(route) for route in body["routes"]]
    services = [_service_from(service) for service in body["services"]]
    return Configuration(
        int(body["version"]),
        {queue.name: queue for queue in queues},
        {service.name: service for service in services},
        _limits_from(body.get("limits") or {}),
    )


def resources_from(fields: Any) -> Resources:
    """Decode an amount; absent parts are 0.

    :raises TypeError, ValueError: if a part is not a whole number.
    """
    amount = Resources(
        int(fields.get("cpu") or 0),
        int(fields.get("mem-mb") or 0),
        int(fields.get("gpu") or 0),
    )
    if min(amount) < 0:
        raise ValueError(f"negative amount {amount}")
    return amount


def _queue_from(route: Any) -> Queue:
    return Queue(
        route["name"],
        route["host"],
        route["path-prefix"],
        route["service"],
        int(route.get("priority") or 0),
        int(route.get("attempts") or 1),
        float(route.get("stretch") or 1.0),
        float(route.get("target-duration-ms") or 0.0),
        int(route.get("timeout-ms") or 3_000),
        _advice_from(route.get("advice")),
    )


def _advice_from(advice: Any) -> AdvicePolicy | None:
    if not advice:
        return None
    return AdvicePolicy(
        float(advice.get("decision-ms") or 0.0),
        float(advice.get("per-worker-ms") or 0.0),
        int(advice["valid-ms"]),
    )


def _service_from(service: Any) -> Service:
    return Service(
        service["name"],
        bool(service.get("admission-check")),
        bool(service.get("standby")),
        service.get("health-path") or "",
        int(service.get("max-conns") or 64),
    )


def _limits_from(limits: Any) -> RequestLimits:
    return RequestLimits(
        int(limits.get("max-header-bytes") or DEFAULT_LIMITS.header_bytes),
        int(limits.get("max-body-bytes") or DEFAULT_LIMITS.body_bytes),
        int(
            limits.get("header-timeout-ms") or DEFAULT_LIMITS.header_timeout_ms
        ),
        int(limits.get("idle-timeout-ms") or DEFAULT_LIMITS.idle_timeout_ms),
    )
