"""Membership of the mesh: daemons, their states and the delegates of each domain.

The current time is passed as an argument everywhere, in seconds on a monotonic clock.
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
from cassiaspread_core.membership._rendezvous import (
    choose_delegates,
    find_children,
    rank_members,
)
from cassiaspread_core.membership._view import (
    LOST_AFTER_S,
    MembershipView,
    MemberTransition,
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
    "MemberTransition",
    "MembershipView",
    "choose_contacts",
    "choose_delegates",
    "find_children",
    "merge_records",
    "rank_members",
]
