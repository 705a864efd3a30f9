"""HTTP requests over connections that their caller owns, for adapters."""

from cassiaspread_daemon._exchange import (
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    Response,
    fetch,
)

__all__ = ["ConnectFailed", "Exchange", "ExchangeBroken", "Response", "fetch"]
