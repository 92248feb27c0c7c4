"""The leader: plans, orders to workers, leases and stored progress."""

from __future__ import annotations

from magnoliapitch.control.controller import Controller
from magnoliapitch.control.driver import ControlDriver
from magnoliapitch.control.timing import ControlTiming


__all__ = ["ControlDriver", "ControlTiming", "Controller"]
