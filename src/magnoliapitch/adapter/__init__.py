"""Adapters to external systems, chosen by the scheme of a URL."""

from __future__ import annotations

from magnoliapitch.adapter.registry import instance_list_adapter
from magnoliapitch.adapter.registry import log_adapter
from magnoliapitch.adapter.registry import make_instance_list
from magnoliapitch.adapter.registry import make_log


__all__ = [
    "instance_list_adapter",
    "log_adapter",
    "make_instance_list",
    "make_log",
]
