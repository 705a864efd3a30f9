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
        self._open_until_s = float("inf")

    def record_run(self, route: Route, duration_s: float) -> None:
        """Record a run that ended with a complete answer.

        :param route: route of the request.
        :param duration_s: its duration, in seconds.
        """
        self._durations.record(route.name, duration_s)

    def begin(self, open_until_s: float, end_s: float) -> None:
        """Refuse from now on what is not expected to end in time.

        An answer that has begun can't be refused any more. A stream that is passed on
        late is therefore accepted only if its deadline comes before the end, however
        short the streams before it were.

        :param open_until_s: until when other streams are accepted too, on the monotonic
            clock in seconds.
        :param end_s: when the requests in progress are broken off, on the same clock.
        """
        self._open_until_s = open_until_s
        self._end_s = end_s

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
        if job.route.kind is not RequestKind.STREAM or now_s < self._open_until_s:
            return True
        return job.answer_end_s < self._end_s

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
