"""Admission control: admits, queues or refuses requests under load."""

from cassiaspread_core.admission._answer_bounds import (
    AnswerMemory,
    AnswerPacer,
    HeldAnswer,
)
from cassiaspread_core.admission._answer_status import (
    BODILESS_STATUSES,
    AnswerStatus,
    classify_status,
    has_body,
)
from cassiaspread_core.admission._budget import RetryBudget
from cassiaspread_core.admission._connection_room import (
    ConnectionUse,
    connections_to_end,
    senders_to_end,
)
from cassiaspread_core.admission._domain_queue import (
    REPORT_LIFETIME_S,
    DomainQueue,
    PriorityReport,
)
from cassiaspread_core.admission._durations import RunDurations
from cassiaspread_core.admission._entry_order import EntryOrder, WaitingRequest
from cassiaspread_core.admission._fair_queue import AdmissionTicket, FairQueue
from cassiaspread_core.admission._forecast import Forecast
from cassiaspread_core.admission._gate import AdmissionGate, AdmissionResult, Decision
from cassiaspread_core.admission._peak import PeakCount
from cassiaspread_core.admission._request_memory import (
    RECEIVE_BUFFER_BYTES,
    HeldRequest,
    MemoryDecision,
    RequestBounds,
    RequestMemory,
    SenderPace,
)
from cassiaspread_core.admission._retry_window import RetryUsage, RetryWindow
from cassiaspread_core.admission._shares import (
    DaemonDemand,
    Share,
    count_demand,
    divide_capacity,
    domain_capacity,
    fair_level,
)
from cassiaspread_core.admission._waiting import WaitingQueue

__all__ = [
    "BODILESS_STATUSES",
    "RECEIVE_BUFFER_BYTES",
    "REPORT_LIFETIME_S",
    "AdmissionGate",
    "AdmissionResult",
    "AdmissionTicket",
    "AnswerMemory",
    "AnswerPacer",
    "AnswerStatus",
    "ConnectionUse",
    "DaemonDemand",
    "Decision",
    "DomainQueue",
    "EntryOrder",
    "FairQueue",
    "Forecast",
    "HeldAnswer",
    "HeldRequest",
    "MemoryDecision",
    "PeakCount",
    "PriorityReport",
    "RequestBounds",
    "RequestMemory",
    "RetryBudget",
    "RetryUsage",
    "RetryWindow",
    "RunDurations",
    "SenderPace",
    "Share",
    "WaitingQueue",
    "WaitingRequest",
    "classify_status",
    "connections_to_end",
    "count_demand",
    "divide_capacity",
    "domain_capacity",
    "fair_level",
    "has_body",
    "senders_to_end",
]
