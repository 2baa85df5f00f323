"""Commands of the operators' language and their answer, as data classes."""

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
    """Filter on one column of the rows that `show` returns.

    Attributes:
        column: Name of the column.
        operator: `=`, `!=`, or `~` for a column that contains the value.
        value: Text that the column is compared with.
    """

    column: str
    operator: str
    value: str


@dataclass(frozen=True, slots=True)
class Show:
    """Show the rows of a subject that meet all conditions."""

    subject: str
    conditions: tuple[Condition, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Apply operations to the configuration as one change."""

    operations: tuple[Operation, ...]


@dataclass(frozen=True, slots=True)
class AddControl:
    """Add a control node, which becomes a voter once it has caught up."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplaceControl:
    """Replace a lost control node by a VM with an empty disk."""

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
        is_accepted: Whether the configuration was changed.
        revision: Revision after the command.
        error: Class name of the exception; empty if there was none.
        message: Text of the exception; empty if there was none.
    """

    command_id: str
    is_accepted: bool
    revision: int
    error: str = ""
    message: str = ""
