"""Adapters to what the platform offers: its log and instance list."""

from __future__ import annotations

from magnoliapitch.platform.instance import InstanceInfo
from magnoliapitch.platform.instance import InstanceList
from magnoliapitch.platform.instance import InstanceRole
from magnoliapitch.platform.instance import InstanceState
from magnoliapitch.platform.log import LogRecord
from magnoliapitch.platform.log import LogSlice
from magnoliapitch.platform.log import PlatformLog
from magnoliapitch.platform.registry import instance_list_adapter
from magnoliapitch.platform.registry import log_adapter
from magnoliapitch.platform.registry import make_instance_list
from magnoliapitch.platform.registry import make_log


__all__ = [
    "InstanceInfo",
    "InstanceList",
    "InstanceRole",
    "InstanceState",
    "LogRecord",
    "LogSlice",
    "PlatformLog",
    "instance_list_adapter",
    "log_adapter",
    "make_instance_list",
    "make_log",
]
