"""Opens the callers' port before the rest of the program is loaded.

A restart takes some tenths of a second.  Callers that connect in that time
wait in the kernel's accept queue instead of being refused.
"""

import json
import os
import socket

__all__ = ["open_caller_socket"]

ACCEPT_BACKLOG = 1024


def open_caller_socket() -> socket.socket | None:
    """Return the listening socket, or None if it cannot be opened yet.

    Errors in the settings are ignored here; `read_settings` reports them
    when the role starts.
    """
    path = os.environ.get("BERYLSPOOL_SETTINGS", "")
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)["listen"]["front"].rpartition(":")
        address = (host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind(address)
        listening_socket.listen(ACCEPT_BACKLOG)
    except OSError:
        listening_socket.close()
        return None
    listening_socket.setblocking(False)
    return listening_socket
