"""Links from a process to the control nodes of its deployment."""

from collections.abc import Callable
from typing import Any

from berylspool.connection.control_message import make_control_codec
from berylspool.connection.link_set import LinkSet
from berylspool.process.settings import Settings, split_address

__all__ = ["make_control_links"]


def make_control_links(
    name: str,
    settings: Settings,
    port: int | None,
    *,
    sink: Callable[[str, Any], None],
    on_open: Callable[[str], None],
) -> LinkSet:
    """Return the links of a process to all other control nodes.

    Args:
        name: Name of the process.
        settings: Settings of the deployment.
        port: Port of control nodes that are not in the settings and are named
            by their IP addresses; None if there are none.
        sink: Receives a node's name and each message from it.
        on_open: Receives a node's name when the link to it opens.

    Returns:
        The links, not started yet.
    """
    address_by_name = {
        other: split_address(control.address)
        for other, control in settings.controls.items()
        if other != name
    }
    return LinkSet(
        name,
        address_by_name,
        make_control_codec(),
        sink=sink,
        on_open=on_open,
        default_port=port,
    )
