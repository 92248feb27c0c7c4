"""The ``drain`` command."""

from __future__ import annotations

from magnoliapitch.console.client import DEFAULT_ADMIN_URL
from magnoliapitch.console.client import AdminUrlOption
from magnoliapitch.console.client import HttpCall
from magnoliapitch.console.client import send


def drain(*, server: AdminUrlOption = DEFAULT_ADMIN_URL) -> None:
    """Make an instance reject new work and finish what it has accepted.

    The instance reports that it is not ready, but keeps running; end it
    with SIGTERM.

    :param server: URL of the instance's operator interface.
    """
    send(server, HttpCall("POST", "/v1/drain"))
    print(f"{server}: draining; end the process with SIGTERM")
