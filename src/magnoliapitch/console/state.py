"""The ``state`` command."""

from __future__ import annotations

from magnoliapitch.console.client import ADMIN_URL
from magnoliapitch.console.client import AdminServer
from magnoliapitch.console.client import Call
from magnoliapitch.console.client import decode
from magnoliapitch.console.client import send
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.output import print_json


def state(part: str = "", *, server: AdminServer = ADMIN_URL) -> None:
    """Print the state dump of an instance as JSON.

    :param part: only this part, for example ``journal``.
    :param server: URL of the operators' interface.
    """
    dump = decode(send(server, Call("GET", "/v1/state")))
    if part and part not in dump:
        raise CommandError(
            f"no part {part!r}; the dump has {', '.join(sorted(dump))}",
            ExitCode.USAGE,
        )
    print_json(dump[part] if part else dump)
