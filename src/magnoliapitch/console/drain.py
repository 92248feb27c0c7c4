"""The ``drain`` command."""

from __future__ import annotations

from magnoliapitch.console.client import ADMIN_URL
from magnoliapitch.console.client import AdminServer
from magnoliapitch.console.client import Call
from magnoliapitch.console.client import send


def drain(*, server: AdminServer = ADMIN_URL) -> None:
    """Let an instance refuse new work and finish what it has accepted.

    The instance is no longer ready; end it with SIGTERM.

    :param server: URL of the operators' interface.
    """
    send(server, Call("POST", "/v1/drain"))
    print(f"{server}: draining; end the process with SIGTERM")
