"""HTTP requests over connections owned by the calling code."""

from cassiaspread_daemon._exchange._errors import (
    AnswerTooLarge,
    ConnectFailed,
    ConnectionSpoiled,
    ConnectRefused,
    ConnectTimedOut,
    ExchangeBroken,
)
from cassiaspread_daemon._exchange._exchange import (
    MAX_JOINED_BYTES,
    Exchange,
    Response,
    fetch,
)
from cassiaspread_daemon._exchange._reader import (
    ANSWER_MEMORY,
    MAX_ANSWER_BYTES,
    MAX_HELD_BYTES,
    MAX_STRAY_RESPONSES,
    STRAY_TIMEOUT_S,
    AnswerFilter,
    Delimiter,
)
from cassiaspread_daemon._exchange._stream import (
    MAX_TINY_CHUNKS,
    MIN_CHUNK_BYTES,
    ResponseStream,
)

__all__ = [
    "ANSWER_MEMORY",
    "MAX_ANSWER_BYTES",
    "MAX_HELD_BYTES",
    "MAX_JOINED_BYTES",
    "MAX_STRAY_RESPONSES",
    "MAX_TINY_CHUNKS",
    "MIN_CHUNK_BYTES",
    "STRAY_TIMEOUT_S",
    "AnswerFilter",
    "AnswerTooLarge",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectTimedOut",
    "ConnectionSpoiled",
    "Delimiter",
    "Exchange",
    "ExchangeBroken",
    "Response",
    "ResponseStream",
    "fetch",
]
