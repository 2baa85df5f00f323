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
    "RequestRejectedError",
    "ResponseTooLargeError",
    "SettingsError",
    "StorageError",
    "UnknownNameError",
    "UnknownRouteError",
]


class BerylspoolError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(BerylspoolError):
    """A settings file is missing, malformed or out of range."""


class ConfigurationError(BerylspoolError):
    """A configuration violates one of its invariants."""


class RequestError(BerylspoolError):
    """A caller's request is invalid."""


class UnknownRouteError(RequestError):
    """A request names a route that is not in the configuration."""


class ProtocolError(BerylspoolError):
    """The remote end violated the protocol."""


class RequestRejectedError(ProtocolError):
    """A request of a client is no HTTP, or exceeds a limit.

    Args:
        status: HTTP status of the refusal.
        reason: What is wrong, as a label of metrics.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status} {reason}")
        self.status = status
        self.reason = reason


class ResponseTooLargeError(ProtocolError):
    """A response exceeds what may be kept of it until it is whole."""


class FrameError(ProtocolError):
    """A frame between two processes cannot be decoded."""


class FrameTooLargeError(FrameError):
    """A frame exceeds the maximum frame length."""


class ConnectionLostError(BerylspoolError):
    """A connection was closed or reset by the remote end."""


class StorageError(BerylspoolError):
    """The data directory cannot be read or written."""


class StorageFullError(StorageError):
    """The disk has no room; what was saved before is unchanged."""


class CorruptLogError(StorageError):
    """A stored record fails its checksum and is not a partial last write."""


class CommandError(BerylspoolError):
    """An operator's command cannot be executed."""


class CommandSyntaxError(CommandError):
    """A command does not conform to the grammar."""


class CommandConflictError(CommandError):
    """A command was based on a revision that is no longer current."""


class UnknownNameError(CommandError):
    """A command names an object that does not exist."""


class PermissionDeniedError(CommandError):
    """The role of the token does not permit the command."""


class ListenError(BerylspoolError):
    """A server cannot listen on its configured address."""


class NoLeaderError(BerylspoolError):
    """No leader of the control nodes could be reached in time."""
