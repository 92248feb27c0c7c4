"""The catalogue: owners, classes of work and their limits."""

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
