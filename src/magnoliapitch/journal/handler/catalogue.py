"""Handlers of changes to the catalogue."""

from __future__ import annotations

from magnoliapitch.journal.record import CatalogueDelete
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state import VersionedEntry
from magnoliapitch.journal.state_machine import RecordEntryOutcome
from magnoliapitch.journal.state_machine import handles
from magnoliapitch.journal.state_machine import rejected


@handles(CataloguePut)
def put_entry(
    state: ClusterState, offset: int, change: CataloguePut
) -> RecordEntryOutcome:
    """Create or replace an entry if the expected version is current."""
    name = change.entry.name
    problem = _version_problem(state, name, change.expected_version)
    if problem:
        return rejected(problem)
    version = _last_version(state, name) + 1
    state.last_version_by_name[name] = version
    state.catalogue_by_name[name] = VersionedEntry(
        change.entry, version, offset
    )
    return RecordEntryOutcome(applied=True, version=version)


@handles(CatalogueDelete)
def delete_entry(
    state: ClusterState,
    offset: int,  # noqa: ARG001
    change: CatalogueDelete,
) -> RecordEntryOutcome:
    """Delete an entry if the expected version is current."""
    problem = _version_problem(state, change.name, change.expected_version)
    if problem:
        return rejected(problem)
    if change.name not in state.catalogue_by_name:
        return rejected(f"catalogue entry {change.name} does not exist")
    version = _last_version(state, change.name) + 1
    del state.catalogue_by_name[change.name]
    del state.last_version_by_name[change.name]
    state.last_version_by_name[change.name] = version
    return RecordEntryOutcome(applied=True, version=version)


def _last_version(state: ClusterState, name: str) -> int:
    """Return the newest version of a name, deleted or not."""
    return state.last_version_by_name.get(name, state.version_floor)


def _version_problem(
    state: ClusterState, name: str, expected_version: int
) -> str:
    """Return why a version is not the current one; empty if it is.

    A name without an entry has the version 0.
    """
    current = state.catalogue_by_name.get(name)
    version = current.version if current else 0
    if version == expected_version:
        return ""
    return (
        f"the expected version is {expected_version}, but the current one "
        f"is {version}"
    )
