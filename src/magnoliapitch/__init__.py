"""Cluster scheduler for unlike workloads that share the same instances."""

from __future__ import annotations


__version__ = "0.1.0"

__all__ = ["__version__"]
