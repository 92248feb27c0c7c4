"""In-memory stand-in for the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.membership.instance import InstanceInfo


class StandinInstanceList:
    """Instance list whose contents a test sets.

    :ivar down: whether every call fails.
    :ivar by_id: listed instances. A test changes them at any time, so it
        decides how far the list lags behind the instances.
    """

    def __init__(self, instances: tuple[InstanceInfo, ...] = ()) -> None:
        self.down = False
        self.by_id = {item.instance_id: item for item in instances}

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        """Return every listed instance."""
        if self.down:
            return Err(
                not_run(
                    FailureCode.UNAVAILABLE, "the instance list is unavailable"
                )
            )
        return Ok(tuple(self.by_id.values()))
