"""Configuration published by operators: its entries, records and state in force."""

from cassiaspread_core.policy._change import Change, plan_changes, to_record
from cassiaspread_core.policy._checkpoint import (
    CheckpointAssembler,
    CheckpointSchedule,
    Snapshot,
    split_snapshot,
)
from cassiaspread_core.policy._entries import EntryKey
from cassiaspread_core.policy._file import read_policy_file
from cassiaspread_core.policy._model import (
    Limits,
    LimitsException,
    Model,
    Operator,
    Organisation,
    Service,
    TargetPolicy,
    hash_token,
)
from cassiaspread_core.policy._policy import Policy
from cassiaspread_core.policy._record import (
    CheckpointPart,
    Entry,
    EntryKind,
    EntryRecord,
    InvalidRecord,
    RulesRecord,
    decode_record,
)
from cassiaspread_core.policy._rules import (
    LATEST_RULES,
    EntryValue,
    InvalidEntry,
    check_entry,
)
from cassiaspread_core.policy._state import Folded, PolicyState, Verdict
from cassiaspread_core.policy._status import PolicyStatus, RejectedRecord

__all__ = [
    "LATEST_RULES",
    "Change",
    "CheckpointAssembler",
    "CheckpointPart",
    "CheckpointSchedule",
    "Entry",
    "EntryKey",
    "EntryKind",
    "EntryRecord",
    "EntryValue",
    "Folded",
    "InvalidEntry",
    "InvalidRecord",
    "Limits",
    "LimitsException",
    "Model",
    "Operator",
    "Organisation",
    "Policy",
    "PolicyState",
    "PolicyStatus",
    "RejectedRecord",
    "RulesRecord",
    "Service",
    "Snapshot",
    "TargetPolicy",
    "Verdict",
    "check_entry",
    "decode_record",
    "hash_token",
    "plan_changes",
    "read_policy_file",
    "split_snapshot",
    "to_record",
]
