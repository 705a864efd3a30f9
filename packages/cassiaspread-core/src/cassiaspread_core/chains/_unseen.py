"""How many streams others may have started since they last told of their work.

Load pattern: many daemons choose chains by what they told each other up to a second
ago. All of them see the same chain as the best, fill its caches together before any
hears of the others, and its engines preempt streams midway.
"""

import random

from cassiaspread_core.base import EventRate

# Each of two daemons sends the other its work once a second and gets an answer, so that
# news come twice a second.
NEWS_AGE_S = 0.5


class UnseenStarts:
    """Draws how many streams others may have started on one engine.

    Other daemons are taken to start as many streams as this one. Each choice draws
    anew: the fuller an engine, the fewer of the daemons choose it.

    :param random_state: draws the numbers.

    >>> unseen = UnseenStarts(random.Random(0))
    >>> unseen.note_start(now_s=1.0)
    >>> unseen.draw(n_others=0, now_s=1.0)
    0.0
    >>> 0.0 <= unseen.draw(n_others=8, now_s=1.0) <= 2.0
    True
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random_state = random_state
        self._starts = EventRate()

    def note_start(self, now_s: float) -> None:
        """Count a stream that this daemon starts.

        :param now_s: present time.
        """
        self._starts.note(now_s)

    def draw(self, n_others: int, now_s: float) -> float:
        """Draw a number of streams.

        :param n_others: daemons that choose among the same engines, without this one.
        :param now_s: present time.
        """
        most = n_others * self._starts.per_s(now_s) * NEWS_AGE_S
        return self._random_state.uniform(0.0, most)
