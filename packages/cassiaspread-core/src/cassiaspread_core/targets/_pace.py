"""Limit on the requests that may be unanswered at a target that is new or recovered.

A target that has just started has no load, so that all daemons prefer it at once, by
reports that are up to a second old. Its limit holds for all daemons of a failure domain
together. It begins small and doubles with each round of answers in time, as in the slow
start of TCP (RFC 5681); a late answer or a failure halves it. Each daemon computes its
part of the limit from its rank among the daemons, without asking the others.
"""

from cassiaspread_core.placement import MAX_SLOTS

# Limit of a target that has just started or answered its first request since it failed.
INITIAL_LIMIT = 4
# Limit of a target that failed and has not answered since.
UNPROVEN_LIMIT = 1
# Shortest time between two increases, in seconds: daemons report to each other once a
# second, and the answers to the requests of a larger limit have to be seen before the
# next increase.
ROUND_S = 1.0
# Time after which the limit doubles although no answer was seen, in seconds: the
# daemons with a place may have no requests, or their reports may be lost.
UNCHANGED_S = 3.0
# A limit of this size is none.
MAX_LIMIT = MAX_SLOTS
# An answer counts as in time up to this multiple of the usual time.
TIMELY_RATIO = 1.5
# Twice as many requests take up to twice as long, so that answers within this part of
# the objective allow the limit to double.
TIMELY_OBJECTIVE_RATIO = 0.5
# Answers that take longer than this multiple of the time allowed are late.
LATE_RATIO = 2.0


def count_places(limit: int, rank: int, n_daemons: int) -> int:
    """Return a daemon's part of a limit.

    :param limit: limit for all daemons together.
    :param rank: rank of the daemon, 0 first.
    :param n_daemons: number of daemons that share the limit.

    >>> [count_places(4, rank, 3) for rank in range(3)]
    [2, 1, 1]
    """
    each, rest = divmod(limit, max(1, n_daemons))
    return each + (rank < rest)


def timely_s(objective_s: float, usual_s: float) -> float:
    """Return the time up to which an answer is in time, in seconds.

    :param objective_s: objective of the route, in seconds.
    :param usual_s: mean time at other targets of the service, in seconds; 0 if unknown.
    """
    return max(TIMELY_OBJECTIVE_RATIO * objective_s, TIMELY_RATIO * usual_s)


class Pace:
    """Limit of one target.

    Two daemons that know different limits agree on the one that was reset more often,
    and of these on the larger one; a failure or a late answer resets the limit.

    :param incarnation: start of the target that the limit is for.
    :param limit: the limit.
    :param n_resets: number of times that it was reset.
    :param now_s: current time, in seconds.
    :param is_answering: whether the target has answered since it started or failed.

    >>> pace = Pace(1, INITIAL_LIMIT, 0, now_s=0.0)
    >>> pace.record_timely(begin_s=0.2, n_places=1, now_s=0.5)
    False
    >>> pace.record_timely(begin_s=0.6, n_places=1, now_s=1.2), pace.limit
    (True, 8)
    """

    def __init__(
        self,
        incarnation: int,
        limit: int,
        n_resets: int,
        now_s: float,
        is_answering: bool = False,
    ) -> None:
        self.incarnation = incarnation
        self.limit = limit
        self.n_resets = n_resets
        self.is_ended = False
        self.is_answering = is_answering
        # Answers in time to requests that were sent since the limit last changed.
        self._n_timely = 0
        self._changed_s = now_s
        self._shrunk_s = now_s

    def record_timely(self, begin_s: float, n_places: int, now_s: float) -> bool:
        """Record an answer in time; return whether the limit grew.

        :param begin_s: when the request was sent, in seconds.
        :param n_places: this daemon's part of the limit.
        :param now_s: current time, in seconds.
        """
        if begin_s < self._changed_s:
            return False
        self._n_timely += 1
        self.is_answering = True
        is_first = self.limit < INITIAL_LIMIT
        is_round = self._n_timely >= n_places and now_s >= self._changed_s + ROUND_S
        if not is_first and not is_round:
            return False
        self._change(max(INITIAL_LIMIT, 2 * self.limit), now_s)
        return True

    def record_late(self, begin_s: float, now_s: float) -> bool:
        """Record a late answer; return whether the limit shrank.

        :param begin_s: when the request was sent, in seconds.
        :param now_s: current time, in seconds.
        """
        # Requests that were sent together halve the limit once.
        if begin_s < self._shrunk_s or self.limit <= UNPROVEN_LIMIT:
            return False
        self.n_resets += 1
        self._shrunk_s = now_s
        self._change(self.limit // 2, now_s)
        return True

    def record_failure(self, now_s: float) -> bool:
        """Record a failed request; return whether the limit shrank.

        :param now_s: current time, in seconds.
        """
        self.is_answering = False
        return self.record_late(now_s - ROUND_S, now_s)

    def advance(self, now_s: float) -> bool:
        """Double a limit that has not changed for long; return whether it grew.

        :param now_s: current time, in seconds.
        """
        n_doublings = int((now_s - self._changed_s) / UNCHANGED_S)
        if n_doublings <= 0 or self.limit >= MAX_LIMIT:
            return False
        n_doublings = min(n_doublings, MAX_LIMIT.bit_length())
        self._change(self.limit * 2**n_doublings, now_s)
        return True

    def merge(self, limit: int, n_resets: int, now_s: float) -> bool:
        """Take over the limit of another daemon if it is newer.

        :param limit: the other daemon's limit.
        :param n_resets: number of times that it was reset.
        :param now_s: current time, in seconds.
        :returns: whether it was newer.
        """
        if (n_resets, limit) <= (self.n_resets, self.limit):
            return False
        if n_resets > self.n_resets:
            self.is_ended = self.is_answering = False
            self._shrunk_s = now_s
        self.n_resets = n_resets
        self._change(limit, now_s)
        return True

    def _change(self, limit: int, now_s: float) -> None:
        self.limit = max(UNPROVEN_LIMIT, min(MAX_LIMIT, limit))
        self._n_timely = 0
        self._changed_s = now_s
