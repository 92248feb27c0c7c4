"""Benchmarks that the command line offers."""

from __future__ import annotations
