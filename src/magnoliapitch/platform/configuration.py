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
        _decode_workspace(tenant)
        for tenant in _decode_list(body.get("tenants"), "tenants")
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
        _require_text(route["name"], "name"),
        _require_text(route["host"], "host"),
        _require_text(route["path-prefix"], "path-prefix"),
        route["service"],
        int(route.get("priority") or 0),
        max(1, int(route.get("attempts") or 1)),
        float(route.get("stretch") or 1.0),
        float(route.get("target-duration-ms") or 0.0),
        int(route.get("timeout-ms") or 3_000),
        _decode_permit_timing(route.get("advice")),
        _decode_flag(route.get("public"), "public"),
    )


def _decode_workspace(tenant: Any) -> Workspace:
    return Workspace(
        _require_text(tenant["name"], "name"),
        frozenset(
            _require_text(key, "api-keys")
            for key in _decode_list(tenant.get("api-keys"), "api-keys")
        ),
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


def _decode_list(value: Any, field: str) -> list[Any]:
    """Return a list; only an absent field is an empty one.

    A malformed list of workspaces must not turn the check of keys off.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise TypeError(f"{field} must be a list")
    return value


def _decode_flag(value: Any, field: str) -> bool:
    if value is None:
        return False
    if not isinstance(value, bool):
        raise TypeError(f"{field} must be true or false")
    return value


def _require_text(value: Any, field: str) -> str:
    """Return a text; the error leaves the value out, which may be a key."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{field} must be a non-empty string")
    return value


def _decode_limits(limits: Any) -> RequestLimits:
    return RequestLimits(
        int(limits.get("max-header-bytes") or DEFAULT_LIMITS.header_bytes),
        int(limits.get("max-body-bytes") or DEFAULT_LIMITS.body_bytes),
        int(
            limits.get("header-timeout-ms") or DEFAULT_LIMITS.header_timeout_ms
        ),
        int(limits.get("idle-timeout-ms") or DEFAULT_LIMITS.idle_timeout_ms),
    )
