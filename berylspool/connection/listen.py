"""Binding of servers to the addresses in the settings."""

from tornado.tcpserver import TCPServer

from berylspool.exception import ListenError

__all__ = ["listen"]


def listen(server: TCPServer, address: str) -> None:
    """Start to accept connections.

    Args:
        server: Server to start.
        address: IP address and port, as `host:port`.

    Raises:
        ListenError: The address is in use or is not local.
    """
    host, _, port = address.rpartition(":")
    try:
        server.listen(int(port), host)
    except OSError as error:
        raise ListenError(
            f"cannot listen on {address}: {error.strerror}"
        ) from error
