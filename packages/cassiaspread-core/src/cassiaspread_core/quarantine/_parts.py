"""Which requests are refused since a part of their prompts crashes targets, and when
one of them is tried again.
"""

from collections.abc import Callable, Collection

from cassiaspread_core.base import OrganisationId
from cassiaspread_core.quarantine._record import Fingerprint, SuspectRecord

# Shortest time after the last loss before one request is tried, in seconds.
MIN_TRIAL_S = 30.0
# The same as a multiple of the time between the first and the last loss, so that the
# trials of a part that goes on crashing targets become rarer.
TRIAL_RATIO = 2.0


def is_refused_with(
    record: SuspectRecord,
    parts: Collection[Fingerprint],
    organisation: OrganisationId,
    is_suspect: Callable[[Fingerprint], bool],
) -> bool:
    """Return whether a request is refused for a part of its prompt.

    Parts that were together in all interrupted prompts cannot be told apart, so only
    prompts that contain all of them are refused; the others show which one it is. A
    part is refused for the organisations that lost targets under it, and for all others
    once there are several: one alone could place the part beside text of its own.

    :param record: record of a part that crashes targets.
    :param parts: all parts of the request.
    :param organisation: organisation that sends the request.
    :param is_suspect: returns whether a loss counts against a part.
    """
    organisations = record.organisations
    if len(organisations) < 2 and organisation not in organisations:
        return False
    return all(part in parts for part in record.companions if is_suspect(part))


def next_trial_s(record: SuspectRecord, spread: float) -> float:
    """Return when one request may be tried, in seconds since the epoch.

    :param record: record of a part that crashes targets.
    :param spread: number from 0 to 1, different for each daemon, so that one of them
        learns the result for all.
    """
    times_s = [loss.at_s for loss in record.counted]
    wait_s = max(MIN_TRIAL_S, TRIAL_RATIO * (max(times_s) - min(times_s)))
    return max(times_s) + wait_s * (1.0 + spread)
