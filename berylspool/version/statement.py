"""Commands of the operators' language, as data."""

from dataclasses import dataclass

from berylspool.version.operation import Operation

__all__ = [
    "AddControl",
    "ChangeConfiguration",
    "Command",
    "Condition",
    "RemoveControl",
    "ReplaceControl",
    "Show",
]


@dataclass(frozen=True, slots=True)
class Condition:
    """A filter on one column; `~` means that it contains the value."""

    column: str
    operator: str
    value: str


@dataclass(frozen=True, slots=True)
class Show:
    """Ask what holds."""

    subject: str
    conditions: tuple[Condition, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """State what should hold next."""

    operations: tuple[Operation, ...]


@dataclass(frozen=True, slots=True)
class AddControl:
    """Add a control node; it votes once it has caught up."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplaceControl:
    """Put a VM with an empty disk in the place of the lost one."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveControl:
    """Remove a control node."""

    name: str


Command = (
    Show | ChangeConfiguration | AddControl | ReplaceControl | RemoveControl
)


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """Answer to an operator's command.

    Attributes:
        command_id: Id of the command.
        is_accepted: Whether the configuration has changed.
        revision: Revision after the command.
        error: Name of the error's type, or empty.
        message: What went wrong, or empty.
    """

    command_id: str
    is_accepted: bool
    revision: int
    error: str = ""
    message: str = ""
