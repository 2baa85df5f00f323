"""Publication of immutable values by one task to all others."""

from typing import Generic, TypeVar

__all__ = ["PublishedValue"]

T = TypeVar("T")


class PublishedValue(Generic[T]):
    """The latest value published by the task that owns it.

    Values are immutable, so other tasks read `value` directly instead of
    requesting it by a message.  Only the owning task calls `publish`.

    Args:
        value: Initial value.

    Examples:
        >>> current = PublishedValue(1)
        >>> current.publish(2)
        >>> current.value
        2
    """

    def __init__(self, value: T) -> None:
        self.value = value

    def publish(self, new_value: T) -> None:
        """Replace the published value."""
        self.value = new_value
