"""Admission, plan costs and quarantine of one daemon."""

from cassiaspread_daemon.load._admission import Admission, Slot
from cassiaspread_daemon.load._costs import PlanCosts
from cassiaspread_daemon.load._probe import TargetProbe
from cassiaspread_daemon.load._quarantine import Quarantine, build_quarantine
from cassiaspread_daemon.load._suspects import SuspectExchange
from cassiaspread_daemon.load._watch import Watch

__all__ = [
    "Admission",
    "PlanCosts",
    "Quarantine",
    "Slot",
    "SuspectExchange",
    "TargetProbe",
    "Watch",
    "build_quarantine",
]
