"""What a silent target does to the requests that wait for it.

A sound target may be silent for a second and go on. Silence is a reason to look for
another target, not to end an answer.
"""

import msgspec

# A target that is silent for this long and shows a sign of its end has ended, in
# seconds. A process that ends closes its connections. One that leaves may refuse new
# ones before it has completed its requests, also before the list shows that it leaves,
# and the list may show a process of its name that began before the request was sent.
MIN_GONE_SILENCE_S = 3.0


class Silence(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a silent target.

    :param duration_s: time since the target last sent anything, in seconds.
    :param is_refused: nothing listens at its address.
    :param is_restarted: another process has its name, possibly since the request was
        sent.
    :param is_leaving: it is leaving, or a current list of targets does not contain it.
    """

    duration_s: float
    is_refused: bool = False
    is_restarted: bool = False
    is_leaving: bool = False


def is_gone(silence: Silence) -> bool:
    """Return whether a silent target, whose connection is open, can't answer any more.

    :param silence: what is known of it.

    >>> is_gone(Silence(duration_s=10.0))
    False
    >>> is_gone(Silence(duration_s=0.6, is_refused=True))
    False
    >>> is_gone(Silence(duration_s=3.0, is_refused=True))
    True
    """
    has_sign = silence.is_refused or silence.is_restarted or silence.is_leaving
    return has_sign and silence.duration_s >= MIN_GONE_SILENCE_S
