"""Admission control: admits, queues or refuses requests under load."""

from cassiaspread_core.admission._budget import RetryBudget
from cassiaspread_core.admission._fair_queue import FairQueue, Ticket
from cassiaspread_core.admission._forecast import Forecast
from cassiaspread_core.admission._gate import Decision, Gate, Verdict
from cassiaspread_core.admission._retry_window import RetryWindow
from cassiaspread_core.admission._shares import (
    Demand,
    Share,
    count_demand,
    divide_capacity,
    domain_capacity,
    fair_level,
)
from cassiaspread_core.admission._waiting import WaitingLine

__all__ = [
    "Decision",
    "Demand",
    "FairQueue",
    "Forecast",
    "Gate",
    "RetryBudget",
    "RetryWindow",
    "Share",
    "Ticket",
    "Verdict",
    "WaitingLine",
    "count_demand",
    "divide_capacity",
    "domain_capacity",
    "fair_level",
]
