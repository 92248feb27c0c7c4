"""Tickets, each of which lets one incarnation run one request at most once.

A ticket contains everything that its issuer needs to check it, signed with
a key that exists only as long as the incarnation. So the issuer stores
nothing until the ticket is used.
"""

from __future__ import annotations

import hmac
import secrets

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


TICKET_TTL_MS = 300_000
SECRET_BYTES = 32
NONCE_BYTES = 12
TICKET_PART_COUNT = 4
TICKET_MAX_CHARS = 256


class Ticket(NamedTuple):
    """A parsed ticket.

    Its text is ``INCARNATION.NONCE.EXPIRES_MS.SIGNATURE``.

    :param incarnation: issuer, the only one that may run the request.
    :param nonce: random hexadecimal digits, unique to the ticket.
    :param expires_ms: end of validity by the issuer's monotonic clock, in
        milliseconds.
    :param signature: HMAC of nonce, expiry and catalogue entry.
    """

    incarnation: str
    nonce: str
    expires_ms: int
    signature: str

    @classmethod
    def parse(cls, text: str) -> Result[Ticket, Failure]:
        """Parse a ticket from its text; the signature is not checked."""
        parts = text.split(".")
        is_well_formed = (
            len(text) <= TICKET_MAX_CHARS
            and text.isascii()
            and len(parts) == TICKET_PART_COUNT
            and parts[2].isdigit()
        )
        if not is_well_formed:
            return Err(
                not_run(
                    FailureCode.INVALID,
                    "the ticket is malformed; expected one that was issued "
                    "by POST /v1/tickets/ENTRY",
                )
            )
        return Ok(cls(parts[0], parts[1], int(parts[2]), parts[3]))

    def __str__(self) -> str:
        return ".".join(map(str, self))


class TicketIssuer:
    """Issues and verifies the tickets of one incarnation."""

    def __init__(self, incarnation: str, clock: Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, entry: str) -> Ticket:
        """Return a new ticket for one request of a catalogue entry."""
        unsigned = Ticket(
            self._incarnation,
            secrets.token_hex(NONCE_BYTES),
            self._clock.now_ms() + TICKET_TTL_MS,
            "",
        )
        return unsigned._replace(signature=self._sign(unsigned, entry))

    def check(self, ticket: Ticket, entry: str) -> Failure | None:
        """Return why a ticket of this incarnation is invalid, if it is."""
        expected = self._sign(ticket, entry)
        if not hmac.compare_digest(expected, ticket.signature):
            return not_run(
                FailureCode.INVALID,
                f"the ticket was not issued for catalogue entry {entry}",
            )
        if ticket.expires_ms <= self._clock.now_ms():
            return may_have_run(FailureCode.EXPIRED, "the ticket has expired")
        return None

    def _sign(self, ticket: Ticket, entry: str) -> str:
        text = f"{ticket.nonce}.{ticket.expires_ms}.{entry}"
        return hmac.digest(self._secret, text.encode(), "sha256").hex()
