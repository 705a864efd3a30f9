"""Configuration that operators publish: its entries and what is in force."""

from cassiaspread_core.policy._model import (
    Limits,
    Model,
    Operator,
    Organisation,
    Policy,
    Service,
    TargetPolicy,
    hash_token,
)
from cassiaspread_core.policy._record import EntryKind, EntryRecord
from cassiaspread_core.policy._state import EntryKey, PolicyState

__all__ = [
    "EntryKey",
    "EntryKind",
    "EntryRecord",
    "Limits",
    "Model",
    "Operator",
    "Organisation",
    "Policy",
    "PolicyState",
    "Service",
    "TargetPolicy",
    "hash_token",
]
