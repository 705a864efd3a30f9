"""Bounds on the answers that one process receives over all of its connections.

A target in trouble may send bytes without end. The memory of its answers and the cost
of reading them must not depend on how many targets do so at once.
"""

from collections.abc import Callable

# Ends an answer; the argument says which bound was exceeded.
DropAnswer = Callable[[str], None]


class AnswerMemory:
    """Bytes of answers that were received and not yet sent to their callers.

    If all answers together exceed the bound, the largest one is dropped: an answer of
    usual size never makes way for one without end.

    :param max_bytes: bound on all answers together.
    :param max_answer_bytes: bound on one answer.

    >>> memory = AnswerMemory(max_bytes=10, max_answer_bytes=8)
    >>> large, small = memory.hold(print), memory.hold(print)
    >>> large.add(7)
    >>> small.add(4)
    all answers together exceed 10 bytes, and this is the largest with 7
    >>> memory.n_bytes
    4
    """

    def __init__(self, max_bytes: int, max_answer_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._n_bytes = 0
        self._held: set[HeldAnswer] = set()

    @property
    def n_bytes(self) -> int:
        """Bytes of all answers together."""
        return self._n_bytes

    def hold(self, drop: DropAnswer) -> "HeldAnswer":
        """Start to account for an answer.

        :param drop: called if the answer has to be dropped.
        """
        answer = HeldAnswer(self, drop)
        self._held.add(answer)
        return answer

    def change(self, answer: "HeldAnswer", n_bytes: int) -> None:
        """Record that an answer grew or shrank, and drop answers beyond the bounds.

        :param answer: the answer.
        :param n_bytes: difference in bytes.
        """
        self._n_bytes += n_bytes
        if answer.n_bytes > self._max_answer_bytes:
            answer.drop(f"an answer of more than {self._max_answer_bytes} bytes")
        while self._n_bytes > self._max_bytes:
            largest = max(self._held, key=lambda held: held.n_bytes)
            largest.drop(
                f"all answers together exceed {self._max_bytes} bytes, and this is the "
                f"largest with {largest.n_bytes}"
            )

    def release(self, answer: "HeldAnswer") -> None:
        """Stop accounting for an answer.

        :param answer: the answer.
        """
        if answer in self._held:
            self._held.remove(answer)
            self._n_bytes -= answer.n_bytes


class HeldAnswer:
    """Bytes of one answer; a context manager.

    :param memory: accounts for the answer.
    :param drop: called if the answer has to be dropped.
    """

    def __init__(self, memory: AnswerMemory, drop: DropAnswer) -> None:
        self._memory = memory
        self._drop = drop
        self._is_open = True
        self.n_bytes = 0

    def __enter__(self) -> "HeldAnswer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def is_open(self) -> bool:
        """Whether the answer was neither dropped nor closed."""
        return self._is_open

    def add(self, n_bytes: int) -> None:
        """Record that the answer grew, which may drop it.

        :param n_bytes: bytes that were added, or removed if negative.
        """
        if self._is_open:
            self.n_bytes += n_bytes
            self._memory.change(self, n_bytes)

    def drop(self, reason: str) -> None:
        """Close the answer and tell its owner.

        :param reason: the bound that was exceeded.
        """
        self.close()
        self._drop(reason)

    def close(self) -> None:
        """Stop accounting for the answer."""
        if self._is_open:
            self._is_open = False
            self._memory.release(self)


class AnswerPacer:
    """Limits the rate at which large answers are read, all together.

    Amounts are bytes, or other units that cost about the same to read. An answer up to
    an amount that grows with its age is read as it arrives, so a stream of usual speed
    never waits for the others.

    :param rate: amount of all large answers together that is read in a second.
    :param unpaced: amount up to which an answer is read as it arrives.
    :param unpaced_rate: growth of that amount in each second of the answer's age.

    >>> pacer = AnswerPacer(1000.0, unpaced=100, unpaced_rate=10.0)
    >>> pacer.delay_s(100, 100, age_s=0.0, now_s=1.0)
    0.0
    >>> pacer.delay_s(200, 100, age_s=0.0, now_s=1.0)
    0.1
    >>> pacer.delay_s(300, 100, age_s=0.0, now_s=1.0)
    0.2
    >>> pacer.is_paced(200, age_s=10.0)
    False
    """

    def __init__(self, rate: float, unpaced: float, unpaced_rate: float) -> None:
        self._rate = rate
        self._unpaced = unpaced
        self._unpaced_rate = unpaced_rate
        self._free_at_s = float("-inf")

    def is_paced(self, n_total: float, age_s: float) -> bool:
        """Return whether an answer is read at the limited rate.

        :param n_total: amount of the answer that was read so far.
        :param age_s: time since the answer began, in seconds.
        """
        return n_total > self._unpaced + age_s * self._unpaced_rate

    def delay_s(
        self, n_total: float, n_new: float, age_s: float, now_s: float
    ) -> float:
        """Return how long to wait before more of an answer is read, in seconds.

        :param n_total: amount of the answer that was read so far.
        :param n_new: amount that was read just now.
        :param age_s: time since the answer began, in seconds.
        :param now_s: current time, in seconds.
        """
        if not self.is_paced(n_total, age_s):
            return 0.0
        self._free_at_s = max(self._free_at_s, now_s) + n_new / self._rate
        return round(self._free_at_s - now_s, 6)
