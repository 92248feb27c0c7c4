"""Who makes a call, as far as access to jobs is concerned."""

from __future__ import annotations

from typing import NamedTuple


class Caller(NamedTuple):
    """The workspace that a call is made for.

    :param workspace: name of the workspace of the API key; empty without a
        known key.
    :param is_restricted: whether the caller may use only jobs of its
        workspace and those without one; False where no keys are required.
    """

    workspace: str = ""
    is_restricted: bool = False

    def may_use(self, job_workspace: str) -> bool:
        """Return whether the caller may use a job.

        :param job_workspace: workspace of the job, empty if it has none.
        """
        return not self.is_restricted or job_workspace in ("", self.workspace)


UNRESTRICTED = Caller()
