"""What a gateway that leaves still passes on: only what can end before it does."""

from cassiaspread_core.admission import RunDurations
from cassiaspread_core.base import Outcome, Refusal
from cassiaspread_core.routing import RequestKind, Route
from cassiaspread_daemon.gateway._job import Job

# Another daemon can take a request that this one does not accept, in seconds.
RETRY_AFTER_S = 0.1


class Closing:
    """Decides which requests a gateway passes on after SIGTERM."""

    def __init__(self) -> None:
        self._durations = RunDurations()
        self._end_s: float | None = None
        self._refuses_open_ends = False

    def record_run(self, route: Route, duration_s: float) -> None:
        """Record a run that ended with a complete answer.

        :param route: route of the request.
        :param duration_s: its duration, in seconds.
        """
        self._durations.record(route.name, duration_s)

    def begin(self, end_s: float) -> None:
        """Refuse from now on what is not expected to end in time.

        :param end_s: when the requests in progress are broken off, on the monotonic
            clock in seconds.
        """
        self._end_s = end_s

    def refuse_open_ends(self) -> None:
        """Refuse from now on also the streams that may last longer than expected.

        An answer that has begun can't be refused any more, so a stream is accepted only
        if its deadline comes first.
        """
        self._refuses_open_ends = True

    def may_end(self, job: Job, now_s: float) -> bool:
        """Return whether a request that is passed on now can end in time.

        :param job: the request.
        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self._end_s is None:
            return True
        duration_s = self._durations.estimate_s(job.route.name)
        if duration_s is None:
            duration_s = job.route.objective_s
        if now_s + duration_s >= self._end_s:
            return False
        is_open = self._refuses_open_ends and job.route.kind is RequestKind.STREAM
        return not is_open or job.answer_end_s < self._end_s

    def check(self, job: Job, now_s: float) -> None:
        """Check that a request that has not been passed on can end in time.

        :param job: the request.
        :param now_s: current time on the monotonic clock, in seconds.
        :raises Refusal: it can not.
        """
        if not self.may_end(job, now_s):
            raise leaving_refusal()


def leaving_refusal() -> Refusal:
    """Return the refusal of a request that a gateway does not pass on as it leaves."""
    detail = "The daemon may end before the answer."
    return Refusal(503, "leaving", detail, Outcome.NOT_RUN, retry_after_s=RETRY_AFTER_S)
