"""Configuration published by operators: its entries, records and state in force."""

from cassiaspread_core.policy._change import Change, build_record, plan_changes
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
from cassiaspread_core.policy._state import FoldedRecord, FoldVerdict, PolicyState
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
    "FoldVerdict",
    "FoldedRecord",
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
    "build_record",
    "check_entry",
    "decode_record",
    "hash_token",
    "plan_changes",
    "read_policy_file",
    "split_snapshot",
]
