"""The ``state`` command."""

from __future__ import annotations

from magnoliapitch.console.client import DEFAULT_ADMIN_URL
from magnoliapitch.console.client import AdminUrlOption
from magnoliapitch.console.client import HttpCall
from magnoliapitch.console.client import decode_json
from magnoliapitch.console.client import send
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.output import print_json


def state(
    part: str = "", *, server: AdminUrlOption = DEFAULT_ADMIN_URL
) -> None:
    """Print the internal state of an instance as JSON, for debugging.

    :param part: name of the only part to print, for example ``journal``;
        by default all parts.
    :param server: URL of the instance's operator interface.
    """
    state_dump = decode_json(send(server, HttpCall("GET", "/v1/state")))
    if part and part not in state_dump:
        raise CommandError(
            f"the state has no part {part!r}; the dump has "
            f"{', '.join(sorted(state_dump))}",
            ExitCode.USAGE,
        )
    print_json(state_dump[part] if part else state_dump)
