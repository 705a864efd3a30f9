"""HTTP requests over connections owned by the calling code, for adapters."""

from cassiaspread_daemon._exchange import (
    AnswerFilter,
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    Response,
    fetch,
)

__all__ = [
    "AnswerFilter",
    "ConnectFailed",
    "Exchange",
    "ExchangeBroken",
    "Response",
    "fetch",
]
