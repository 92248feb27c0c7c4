"""Configures loguru and logs events with it."""

from __future__ import annotations

import sys
import traceback

from collections.abc import Callable
from collections.abc import Mapping
from datetime import UTC
from typing import TYPE_CHECKING

from loguru import logger

from magnoliapitch.event.line import format_line
from magnoliapitch.event.registry import EventLevel
from magnoliapitch.event.registry import kinds_by_name


if TYPE_CHECKING:
    from contextlib import AbstractContextManager
    from typing import TextIO

    from loguru import Message

EventFields = Mapping[str, object]
FieldsWriter = Callable[[EventFields], None]


def configure_logging(
    instance_id: str,
    zone: str,
    level: EventLevel = EventLevel.INFO,
    stream: TextIO | None = None,
    write: FieldsWriter | None = None,
) -> None:
    """Set where and from which level this process logs its events.

    :param instance_id: added to every line as ``instance``.
    :param zone: added to every line.
    :param level: lowest level that is logged.
    :param stream: stream that gets a line for each event; by default
        standard error.
    :param write: called with the fields of each event, in place of writing
        to a stream.
    """
    write_fields = write or _stream_writer(stream or sys.stderr)
    process_fields = {"instance": instance_id, "zone": zone}

    def write_message(message: Message) -> None:
        record = message.record
        header_fields = {
            "time": _format_time(message),
            "level": record["level"].name.lower(),
            "event": record["message"],
        }
        write_fields({**header_fields, **process_fields, **record["extra"]})

    logger.remove()
    logger.add(write_message, level=level.upper(), format="{message}")


def _stream_writer(stream: TextIO) -> FieldsWriter:
    def write(fields: EventFields) -> None:
        stream.write(format_line(fields) + "\n")
        stream.flush()

    return write


def log_event(
    name: str, *, error: BaseException | None = None, **fields: object
) -> None:
    """Log an event at the level of its kind.

    :param name: name of a registered kind; an unregistered name is logged
        as a warning.
    :param error: exception whose type, text and traceback are added.
    :param fields: further fields of the line, by key.
    """
    kind = kinds_by_name.get(name)
    level = kind.level if kind else EventLevel.WARNING
    if error is not None:
        fields["error"] = repr(error)
        fields["traceback"] = "".join(traceback.format_exception(error))
    logger.bind(**fields).log(level.upper(), name)


def request_context(request_id: str) -> AbstractContextManager[None]:
    """Return a context that adds a request ID to every event logged in it."""
    return logger.contextualize(request_id=request_id)


def _format_time(message: Message) -> str:
    time = message.record["time"].astimezone(UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
