"""HTTP requests over connections owned by the calling code, for adapters."""

from cassiaspread_daemon._exchange import (
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    Response,
    fetch,
)

__all__ = ["ConnectFailed", "Exchange", "ExchangeBroken", "Response", "fetch"]
