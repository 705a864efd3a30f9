"""Which daemons run, how they are told apart and who speaks for a domain.

The present time is an argument everywhere, in seconds on a clock that never goes
back.
"""

from cassiaspread_core.membership._changes import (
    Change,
    ChangeCursor,
    ChangeLog,
    Changes,
)
from cassiaspread_core.membership._contacts import ContactPlan, choose_contacts
from cassiaspread_core.membership._member import (
    Member,
    MemberRecord,
    MemberState,
    merge_records,
)
from cassiaspread_core.membership._rendezvous import choose_delegates, rank_members
from cassiaspread_core.membership._view import (
    LOST_AFTER_S,
    MembershipView,
    Transition,
)

__all__ = [
    "LOST_AFTER_S",
    "Change",
    "ChangeCursor",
    "ChangeLog",
    "Changes",
    "ContactPlan",
    "Member",
    "MemberRecord",
    "MemberState",
    "MembershipView",
    "Transition",
    "choose_contacts",
    "choose_delegates",
    "merge_records",
    "rank_members",
]
