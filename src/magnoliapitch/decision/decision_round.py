"""State, limits and outcome of one call of ``decide``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.interface import Decision
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.placement import PlacementNeed


MAX_STARTS = 12
MAX_FAILED_SEARCHES = 12
MAX_GANG_ATTEMPTS = 2
MAX_EVICTIONS = 4
MAX_REMEMBERED_FAILURES = 16


class _FailedSearch(NamedTuple):
    """Requirements for which a search found no worker."""

    size: Resources
    expected_end_ms: int
    is_bulk: bool
    may_use_protected: bool
    unit: str

    def implies_failure_of(self, need: PlacementNeed) -> bool:
        return (
            self.size.fits(need.size)
            and self.expected_end_ms <= need.expected_end_ms
            and self.is_bulk <= need.is_bulk
            and self.may_use_protected >= need.may_use_protected
            and self.unit in ("", need.unit)
        )


class DecisionRound:
    """State of one call of ``decide``, which limits its work.

    :ivar pass_number: pass that the call belongs to. Within a pass, a group
        whose search for a worker failed is tried only on freed workers.
    :ivar max_freed_capacity: most that bulk work may use on any worker on
        which capacity became free in this pass.
    :ivar has_unvisited_owners: whether the call stopped before all owners
        were served.
    :ivar failed_search_count: number of failed searches of all workers in
        the current stage.
    :ivar gang_attempt_count: number of gangs for which a start was tried.
    """

    def __init__(self, now_ms: int, pass_number: int) -> None:
        self.now_ms = now_ms
        self.pass_number = pass_number
        self.max_freed_capacity = UNLIMITED
        self.has_unvisited_owners = False
        self.placements: list[Placement] = []
        self.evictions: list[Eviction] = []
        self.failed_search_count = 0
        self.gang_attempt_count = 0
        self._failed_searches: list[_FailedSearch] = []
        self._failed_searches_on_freed: list[_FailedSearch] = []

    @property
    def is_full(self) -> bool:
        """Whether the limit on starts is reached."""
        return len(self.placements) >= MAX_STARTS

    @property
    def may_search(self) -> bool:
        """Whether the limit on failed searches is not yet reached."""
        return self.failed_search_count < MAX_FAILED_SEARCHES

    def begin_stage(self) -> None:
        """Start the next stage of the call, with searches of its own.

        Otherwise work of one class that fits nowhere would use up the
        searches of the classes after it, for as long as it waits.
        """
        self.failed_search_count = 0

    @property
    def may_try_gang(self) -> bool:
        """Whether the limit on attempts to start a gang is not yet reached."""
        return self.gang_attempt_count < MAX_GANG_ATTEMPTS

    @property
    def may_evict(self) -> bool:
        """Whether the limit on evictions is not yet reached."""
        return len(self.evictions) < MAX_EVICTIONS

    def is_known_to_fail(
        self, need: PlacementNeed, *, freed_only: bool
    ) -> bool:
        """Return whether a search that asked for no more has failed already.

        :param freed_only: whether only freed workers would be searched.
        """
        if any(
            search.implies_failure_of(need) for search in self._failed_searches
        ):
            return True
        return freed_only and any(
            search.implies_failure_of(need)
            for search in self._failed_searches_on_freed
        )

    def record_failed_search(
        self, need: PlacementNeed, *, freed_only: bool
    ) -> None:
        """Record that no worker was found.

        :param freed_only: whether only freed workers were searched.
        """
        if not freed_only:
            self.failed_search_count += 1
        remembered = (
            self._failed_searches_on_freed
            if freed_only
            else self._failed_searches
        )
        if len(remembered) < MAX_REMEMBERED_FAILURES:
            remembered.append(
                _FailedSearch(
                    need.size,
                    need.expected_end_ms,
                    need.is_bulk,
                    need.may_use_protected,
                    need.unit,
                )
            )

    def decision(self, has_more: bool) -> Decision:
        """Return the placements and evictions of this call.

        :param has_more: whether the caller should call again at once.
        """
        return Decision(
            tuple(self.placements), tuple(self.evictions), has_more
        )
