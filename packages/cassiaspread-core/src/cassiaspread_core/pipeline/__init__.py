"""Plans over layer ranges, token order and recovery of interrupted streams."""

from cassiaspread_core.pipeline._attempt import AttemptBudget, next_attempt
from cassiaspread_core.pipeline._plan import (
    EngineReport,
    Plan,
    Stage,
    check_plan,
    check_report,
    choose_plan,
)
from cassiaspread_core.pipeline._restore import (
    Restore,
    RestoreMode,
    StageRestore,
    choose_restore,
    find_holders,
    penalize_replacements,
)
from cassiaspread_core.pipeline._sequence import TokenSequence, TokenStep
from cassiaspread_core.pipeline._silence import SilenceMonitor
from cassiaspread_core.pipeline._trace_holders import rank_trace_holders
from cassiaspread_core.pipeline._verdict import (
    Interruption,
    Phase,
    StageState,
    States,
    Verdict,
    adjust_verdict,
    diagnose_interruption,
    find_lost,
    needs_confirmation,
)

__all__ = [
    "AttemptBudget",
    "EngineReport",
    "Interruption",
    "Phase",
    "Plan",
    "Restore",
    "RestoreMode",
    "SilenceMonitor",
    "Stage",
    "StageRestore",
    "StageState",
    "States",
    "TokenSequence",
    "TokenStep",
    "Verdict",
    "adjust_verdict",
    "check_plan",
    "check_report",
    "choose_plan",
    "choose_restore",
    "diagnose_interruption",
    "find_holders",
    "find_lost",
    "needs_confirmation",
    "next_attempt",
    "penalize_replacements",
    "rank_trace_holders",
]
