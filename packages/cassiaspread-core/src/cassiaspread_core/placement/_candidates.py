"""Selection of the daemons that apply for the placement duty.

Each renewal is a call to the store, so that their number must not grow with the fleet.
"""

import math
from collections.abc import Iterable

from cassiaspread_core.membership import Member, rank_members

# Daemons of the fleet that apply, at least. Each failure domain has one or more, so
# that no failure of a domain takes them all.
MIN_CANDIDATES = 4
# Longest time without a sign of a holder, in seconds. It exceeds the time after which
# the store passes on the duty of a holder that was lost, and the delay of the gossip.
# After it every daemon applies.
HOLDER_TIMEOUT_S = 6.0
RANKING_KEY = "placement-duty"


def is_candidate(own: Member, members: Iterable[Member], holder_age_s: float) -> bool:
    """Return whether a daemon applies for the placement duty.

    :param own: the daemon.
    :param members: the daemons that take work, ``own`` included.
    :param holder_age_s: time since the last sign of a holder, in seconds.
    """
    if holder_age_s > HOLDER_TIMEOUT_S:
        return True
    known = list(members)
    n_domains = len({member.domain for member in known})
    if not n_domains:
        return False
    n_candidates = math.ceil(MIN_CANDIDATES / n_domains)
    in_domain = [member for member in known if member.domain == own.domain]
    ranked = rank_members(RANKING_KEY, in_domain)[:n_candidates]
    return own.incarnation in {member.incarnation for member in ranked}
