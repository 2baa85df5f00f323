"""Exceptions raised by berylspool.

Every failure has a type, and every type descends from `BerylspoolError`.
"""

__all__ = [
    "BerylspoolError",
    "CommandError",
    "CommandConflictError",
    "CommandSyntaxError",
    "ConfigurationError",
    "ConnectionLostError",
    "CorruptLogError",
    "FrameError",
    "FrameTooLargeError",
    "ListenError",
    "NoLeaderError",
    "PermissionDeniedError",
    "ProtocolError",
    "RequestError",
    "SettingsError",
    "StorageError",
    "UnknownNameError",
    "UnknownRouteError",
]


class BerylspoolError(Exception):
    """Root of all exceptions of this package."""


class SettingsError(BerylspoolError):
    """A settings file is missing, malformed or out of range."""


class ConfigurationError(BerylspoolError):
    """A configuration breaks one of its own invariants."""


class RequestError(BerylspoolError):
    """A caller's request cannot be accepted as it stands."""


class UnknownRouteError(RequestError):
    """A request names a route that the configuration does not hold."""


class ProtocolError(BerylspoolError):
    """A remote end broke the agreed protocol."""


class FrameError(ProtocolError):
    """A frame between two processes cannot be decoded."""


class FrameTooLargeError(FrameError):
    """A frame is longer than the agreed limit."""


class ConnectionLostError(BerylspoolError):
    """A connection was closed or reset by the remote end."""


class StorageError(BerylspoolError):
    """The data folder cannot be read or written."""


class CorruptLogError(StorageError):
    """A stored record fails its checksum and is not a torn tail."""


class CommandError(BerylspoolError):
    """An operator's command cannot be carried out."""


class CommandSyntaxError(CommandError):
    """A command does not follow the grammar."""


class CommandConflictError(CommandError):
    """A command was based on a revision that is no longer current."""


class UnknownNameError(CommandError):
    """A command names an object that does not exist."""


class PermissionDeniedError(CommandError):
    """The token's role does not allow the command."""


class ListenError(BerylspoolError):
    """An address cannot be listened on."""


class NoLeaderError(BerylspoolError):
    """No control leader could be reached in time."""
