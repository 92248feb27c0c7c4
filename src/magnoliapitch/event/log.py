"""Logs events through loguru."""

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

Fields = Mapping[str, object]
Write = Callable[[Fields], None]


def configure_logging(
    instance_id: str,
    zone: str,
    level: EventLevel = EventLevel.INFO,
    stream: TextIO | None = None,
    write: Write | None = None,
) -> None:
    """Write every event of this process as one line.

    :param stream: where to write, standard error by default.
    :param write: takes the fields of each line instead.
    """
    write_fields = write or _writer_to(stream or sys.stderr)
    process = {"instance": instance_id, "zone": zone}

    def take(message: Message) -> None:
        record = message.record
        head = {
            "time": _time_of(message),
            "level": record["level"].name.lower(),
            "event": record["message"],
        }
        write_fields({**head, **process, **record["extra"]})

    logger.remove()
    logger.add(take, level=level.upper(), format="{message}")


def _writer_to(stream: TextIO) -> Write:
    def write(fields: Fields) -> None:
        stream.write(format_line(fields) + "\n")
        stream.flush()

    return write


def log_event(
    name: str, *, error: BaseException | None = None, **fields: object
) -> None:
    """Log an event at the level of its kind.

    :param name: name of a registered kind; others count as warnings.
    :param error: error whose type, text and traceback are added.
    """
    kind = kinds_by_name.get(name)
    level = kind.level if kind else EventLevel.WARNING
    if error is not None:
        fields["error"] = repr(error)
        fields["traceback"] = "".join(traceback.format_exception(error))
    logger.bind(**fields).log(level.upper(), name)


def request_context(request_id: str) -> AbstractContextManager[None]:
    """Add a request's id to every event logged inside the context."""
    return logger.contextualize(request_id=request_id)


def _time_of(message: Message) -> str:
    time = message.record["time"].astimezone(UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
