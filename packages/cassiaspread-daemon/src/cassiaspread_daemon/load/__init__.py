"""Admission, plan costs and quarantine of one daemon."""

from cassiaspread_daemon.load._admission import Admission, Slot
from cassiaspread_daemon.load._costs import PlanCosts
from cassiaspread_daemon.load._probe import TargetProbe
from cassiaspread_daemon.load._quarantine import Quarantine, build_quarantine
from cassiaspread_daemon.load._suspects import SuspectExchange
from cassiaspread_daemon.load._watch import RequestWatch

__all__ = [
    "Admission",
    "PlanCosts",
    "Quarantine",
    "RequestWatch",
    "Slot",
    "SuspectExchange",
    "TargetProbe",
    "build_quarantine",
]
