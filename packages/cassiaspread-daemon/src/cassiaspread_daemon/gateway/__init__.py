"""The gateway: routes callers' requests to chains of engines and to services."""

from cassiaspread_daemon.gateway._decision_log import DecisionLog, describe_error
from cassiaspread_daemon.gateway._gateway import Gateway
from cassiaspread_daemon.gateway._pool import ConnectionPool
from cassiaspread_daemon.gateway._protocols import (
    MAX_SHARED_PARTS,
    NO_NOTICE,
    AnswerParameters,
    DutyState,
    EngineChange,
    EngineNotice,
    EngineReport,
    FeedPage,
    ForwardParameters,
    OrderOutcome,
    RequestParameters,
    Stall,
    SuspectChange,
)
from cassiaspread_daemon.gateway._settings import OPTIONAL_BEHAVIOUR, GatewaySettings

__all__ = [
    "MAX_SHARED_PARTS",
    "NO_NOTICE",
    "OPTIONAL_BEHAVIOUR",
    "AnswerParameters",
    "ConnectionPool",
    "DecisionLog",
    "DutyState",
    "EngineChange",
    "EngineNotice",
    "EngineReport",
    "FeedPage",
    "ForwardParameters",
    "Gateway",
    "GatewaySettings",
    "OrderOutcome",
    "RequestParameters",
    "Stall",
    "SuspectChange",
    "describe_error",
]
