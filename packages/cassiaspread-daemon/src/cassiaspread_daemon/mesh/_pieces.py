"""Large messages between daemons, sent in pieces.

The link of a VM carries the answers of its callers as well. A daemon has few pieces on
the way at a time, so that an answer waits behind these and not behind whole messages.
"""

from collections import OrderedDict

import msgspec

from cassiaspread_core.base import CassiaspreadError, Count, Incarnation

PIECE_BYTES = 8 * 1024
# The first piece is small and does not wait for those of other messages, so that a peer
# that does not reply to it holds up no message to others.
FIRST_PIECE_BYTES = 256
# Other pieces of one daemon on the way at the same time. With one, a peer that stops
# replying would hold up the messages to all others.
N_LANES = 2
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Messages of one sender that are received at the same time.
MAX_OPEN_MESSAGES = 8


class LargeMessage(msgspec.Struct, frozen=True, array_like=True):
    """What the pieces of a message contain together.

    :param kind: kind of request, which selects the handler.
    :param body: the encoded body.
    """

    kind: str
    body: msgspec.Raw


class PieceRejected(CassiaspreadError):
    """A piece does not continue a message that is being received."""


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """A part of a message.

    :param message: number of the message, unique among those of its sender.
    :param begin: position of the first byte.
    :param n_bytes: bytes of the whole message.
    :param data: the bytes.
    """

    message: Count
    begin: Count
    n_bytes: Count
    data: bytes

    @property
    def is_last(self) -> bool:
        """Whether the message ends with this piece."""
        return self.begin + len(self.data) >= self.n_bytes


def split_message(number: int, data: bytes) -> list[Piece]:
    """Return the pieces of a message.

    :param number: number of the message.
    :param data: the message.
    """
    begins = [0, *range(FIRST_PIECE_BYTES, len(data), PIECE_BYTES)]
    ends = [*begins[1:], len(data)]
    return [
        Piece(number, begin, len(data), data[begin:end])
        for begin, end in zip(begins, ends, strict=True)
    ]


class PieceReceiver:
    """Joins the pieces of messages."""

    def __init__(self) -> None:
        self._open: dict[Incarnation, OrderedDict[int, bytearray]] = {}

    def add(self, sender: Incarnation, piece: Piece) -> bytes | None:
        """Add a piece.

        :param sender: the sender.
        :param piece: the piece.
        :returns: the message, once its last piece was added.
        :raises PieceRejected: an earlier piece is missing, or the message is too large.
        """
        if piece.n_bytes > MAX_MESSAGE_BYTES:
            raise PieceRejected(
                f"message of {piece.n_bytes} bytes, at most {MAX_MESSAGE_BYTES} allowed"
            )
        messages = self._open.setdefault(sender, OrderedDict())
        if not piece.begin:
            messages[piece.message] = bytearray()
            if len(messages) > MAX_OPEN_MESSAGES:
                messages.popitem(last=False)
        received = messages.get(piece.message)
        if received is None or len(received) != piece.begin:
            messages.pop(piece.message, None)
            n_received = 0 if received is None else len(received)
            raise PieceRejected(
                f"piece at byte {piece.begin} of message {piece.message}, "
                f"of which {n_received} bytes were received"
            )
        received += piece.data
        if not piece.is_last:
            return None
        del messages[piece.message]
        return bytes(received)

    def remove_sender(self, sender: Incarnation) -> None:
        """Forget the messages of a sender.

        :param sender: the sender.
        """
        self._open.pop(sender, None)
