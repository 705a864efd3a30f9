"""The gateway: routes callers' requests to chains of engines and to services."""

from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._gateway import Gateway
from cassiaspread_daemon.gateway._pool import ConnectionPool
from cassiaspread_daemon.gateway._protocols import (
    AnswerTerms,
    DutyState,
    EngineChange,
    EngineReport,
    FeedPage,
    ForwardTerms,
    OrderOutcome,
    RequestTerms,
    Stall,
)
from cassiaspread_daemon.gateway._settings import GatewaySettings

__all__ = [
    "AnswerTerms",
    "ConnectionPool",
    "DecisionLog",
    "DutyState",
    "EngineChange",
    "EngineReport",
    "FeedPage",
    "ForwardTerms",
    "Gateway",
    "GatewaySettings",
    "OrderOutcome",
    "RequestTerms",
    "Stall",
]
