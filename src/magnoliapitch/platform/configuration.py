"""Decoding of the operators' configuration in the platform's format."""

from __future__ import annotations

from typing import Any

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import RequestLimits
from magnoliapitch.workload.configuration import Service
from magnoliapitch.workload.configuration import Workspace


DEFAULT_LIMITS = RequestLimits()


def decode_configuration(body: Any) -> Configuration:
    """Decode a configuration.

    :param body: parsed JSON.
    :raises KeyError, TypeError, ValueError: if a field is missing or has a
        wrong type or value.
    """
    queues = [_decode_queue(route) for route in body["routes"]]
    services = [_decode_service(service) for service in body["services"]]
    workspaces = [
        _decode_workspace(tenant) for tenant in body.get("tenants") or ()
    ]
    return Configuration(
        int(body["version"]),
        {queue.name: queue for queue in queues},
        {service.name: service for service in services},
        _decode_limits(body.get("limits") or {}),
        {workspace.name: workspace for workspace in workspaces},
    )


def decode_resources(fields: Any) -> Resources:
    """Decode amounts of resources; absent ones are 0.

    :raises TypeError, ValueError: if an amount is not a number or is negative.
    """
    amount = Resources(
        int(fields.get("cpu") or 0),
        int(fields.get("mem-mb") or 0),
        int(fields.get("gpu") or 0),
    )
    if min(amount) < 0:
        raise ValueError(f"negative resource amount in {amount}")
    return amount


def _decode_queue(route: Any) -> Queue:
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
        _decode_permit_timing(route.get("advice")),
        bool(route.get("public")),
    )


def _decode_workspace(tenant: Any) -> Workspace:
    return Workspace(
        tenant["name"],
        frozenset(str(key) for key in tenant.get("api-keys") or ()),
        float(tenant.get("weight") or 1.0),
        # ``max-count`` holds amounts of resources, not a number of tasks.
        decode_resources(tenant.get("max-count") or {}),
    )


def _decode_permit_timing(advice: Any) -> PermitTiming | None:
    if not advice:
        return None
    return PermitTiming(
        float(advice.get("decision-ms") or 0.0),
        float(advice.get("per-worker-ms") or 0.0),
        int(advice["valid-ms"]),
    )


def _decode_service(service: Any) -> Service:
    return Service(
        service["name"],
        bool(service.get("admission-check")),
        bool(service.get("standby")),
        service.get("health-path") or "",
        int(service.get("max-conns") or 64),
    )


def _decode_limits(limits: Any) -> RequestLimits:
    return RequestLimits(
        int(limits.get("max-header-bytes") or DEFAULT_LIMITS.header_bytes),
        int(limits.get("max-body-bytes") or DEFAULT_LIMITS.body_bytes),
        int(
            limits.get("header-timeout-ms") or DEFAULT_LIMITS.header_timeout_ms
        ),
        int(limits.get("idle-timeout-ms") or DEFAULT_LIMITS.idle_timeout_ms),
    )
