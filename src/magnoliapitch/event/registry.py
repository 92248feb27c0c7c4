"""Registry of the kinds of events that a process can log."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class EventLevel(StrEnum):
    """Severity of an event; warnings and errors are alarms."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


ALARM_LEVELS = (EventLevel.WARNING, EventLevel.ERROR)


class EventKind(NamedTuple):
    """A kind of event.

    :param name: lower-case words joined by hyphens.
    :param level: severity at which the event is logged.
    :param meaning: one sentence that tells an operator what happened.
    """

    name: str
    level: EventLevel
    meaning: str

    @property
    def is_alarm(self) -> bool:
        """Whether the event should alert an operator."""
        return self.level in ALARM_LEVELS


kinds_by_name: dict[str, EventKind] = {}


def define_event(name: str, level: EventLevel, meaning: str) -> EventKind:
    """Register a kind of event.

    :raises ValueError: if the name is already registered.
    """
    if name in kinds_by_name:
        raise ValueError(f"event {name!r} is already registered")
    kind = EventKind(name, level, meaning)
    kinds_by_name[name] = kind
    return kind
