"""Consensus messages on the links between control nodes."""

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.control_message import Addressed
from berylspool.connection.link_set import LinkSet
from berylspool.exception import FrameError
from berylspool.process.group.message import (
    AppendRecords,
    ConsensusMessage,
    SendMessage,
    consensus_codec,
)
from berylspool.process.group.reconfiguration import node_name_from_id

__all__ = ["ConsensusTransport"]


class ConsensusTransport:
    """Encodes, sends and decodes consensus messages.

    Args:
        links: Links of this node to the other control nodes.
    """

    def __init__(self, links: LinkSet) -> None:
        self._links = links
        self._codec = consensus_codec()

    def send(self, sender: str, action: SendMessage) -> None:
        """Send a message; it is lost if the link is down.

        Args:
            sender: Id of this node.
            action: The message and the id of the receiving node.
        """
        body = self._codec.encode([action.message])[HEADER_BYTES:]
        addressed = Addressed(sender, action.peer, body)
        self._links.send(node_name_from_id(action.peer), addressed)

    def decode(self, addressed: Addressed) -> ConsensusMessage:
        """Return the message that another node has sent.

        Raises:
            FrameError: It cannot be decoded, or contradicts itself.
        """
        messages = self._codec.decode(addressed.body)
        if len(messages) != 1:
            raise FrameError(f"{len(messages)} consensus messages in one")
        [message] = messages
        if not _is_consistent(message):
            raise FrameError(f"inconsistent {type(message).__name__}")
        return message


def _is_consistent(message: ConsensusMessage) -> bool:
    match message:
        case AppendRecords(previous_index=previous_index, records=records):
            indexes = [record.index for record in records]
            first_index = previous_index + 1
            return previous_index >= 0 and indexes == list(
                range(first_index, first_index + len(records))
            )
    return True
