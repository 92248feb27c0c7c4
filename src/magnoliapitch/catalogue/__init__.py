"""Catalogue of the kinds of work that callers may request.

An entry names the owner, the scheduling class and the limits of the work.
"""

from __future__ import annotations

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import Limits
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.catalogue.entry import parse_entry
from magnoliapitch.catalogue.exceptions import InvalidEntryError


__all__ = [
    "CatalogueEntry",
    "InvalidEntryError",
    "Limits",
    "WorkClass",
    "ZoneCutAction",
    "parse_entry",
]
