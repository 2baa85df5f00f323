"""All log events by their number."""

from berylspool.common import (  # noqa: F401  (define events)
    duty_event,
    part_event,
    request_event,
)
from berylspool.common.event import Event

__all__ = ["event_class_by_number"]


def event_class_by_number() -> dict[int, type[Event]]:
    """Return the event class of each number.

    Examples:
        >>> event_class_by_number()[1001].__name__
        'ProcessStarted'
    """
    return {cls.number: cls for cls in Event.__subclasses__()}
