"""The gateway: callers' requests through routes, chains and services."""

from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._gateway import Gateway
from cassiaspread_daemon.gateway._pool import ConnectionPool
from cassiaspread_daemon.gateway._settings import GatewaySettings
from cassiaspread_daemon.gateway._terms import (
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
