"""Publication of the newest immutable value from one task to all others."""

from typing import Generic, TypeVar

__all__ = ["Current"]

T = TypeVar("T")


class Current(Generic[T]):
    """The newest value that one task has published.

    Values are immutable, so readers need no message to take one; only the
    task that owns the value publishes.

    Examples:
        >>> current = Current(1)
        >>> current.publish(2)
        >>> current.value
        2
    """

    def __init__(self, value: T) -> None:
        self.value = value

    def publish(self, value: T) -> None:
        """Replace the value."""
        self.value = value
