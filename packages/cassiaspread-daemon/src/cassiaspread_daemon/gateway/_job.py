"""One request with everything that was decided about it before it is sent."""

import random
import time
from collections.abc import Callable

import msgspec

from cassiaspread_core.base import OrganisationId, Outcome, Refusal
from cassiaspread_core.chains import Demand
from cassiaspread_core.routing import Route, Service
from cassiaspread_daemon._problem import PROBLEM_CONTENT_TYPE, to_problem
from cassiaspread_daemon.gateway._front import Ingress
from cassiaspread_daemon.gateway._terms import RequestTerms, Wire

# Callers that were refused together come back spread over this part of the time.
RETRY_SPREAD = 0.5

# Uses up one retry and returns whether there was one.
TakeRetry = Callable[[], bool]


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is to be sent to a target.

    :param ingress: the caller's request.
    :param terms: what its headers say.
    :param route: route that it belongs to.
    :param service: service that runs it.
    :param demand: what it asks of a chain of engines.
    :param deadline_s: end of its time, on the monotonic clock in seconds.
    :param organisation: whose request it is, if requests carry keys.
    :param priority: rank, 0 first.
    """

    ingress: Ingress
    terms: RequestTerms
    route: Route
    service: Service
    demand: Demand
    deadline_s: float
    organisation: OrganisationId | None
    priority: int

    def remaining_s(self, now_s: float) -> float:
        """Return the time left in seconds.

        :param now_s: present time.
        """
        return self.deadline_s - now_s


def refuse(
    ingress: Ingress,
    wire: Wire,
    terms: RequestTerms,
    refusal: Refusal,
    random_state: random.Random,
) -> None:
    """Answer that a request is not served.

    :param ingress: the request.
    :param wire: headers of the answer.
    :param terms: what the request's headers say.
    :param refusal: why, and what is known about it.
    :param random_state: spreads the callers' returns.
    """
    headers = {
        "Content-Type": PROBLEM_CONTENT_TYPE,
        **wire.refusal_headers(terms.request_id),
    }
    if refusal.retry_after_s is not None:
        spread = random_state.uniform(1.0, 1.0 + RETRY_SPREAD)
        headers["Retry-After"] = f"{refusal.retry_after_s * spread:.3f}"
    body = msgspec.json.encode(to_problem(refusal))
    ingress.answer(refusal.status, headers, body)


def broken_off(detail: str) -> Refusal:
    """Return the refusal of a request that may have run.

    :param detail: what happened.
    """
    return Refusal(502, "target-failed", detail, Outcome.UNKNOWN)


def timed_out(is_sent: bool) -> Refusal:
    """Return the refusal of a request whose time is over.

    :param is_sent: whether a target may have run it.
    """
    if is_sent:
        return Refusal(504, "timeout", "No answer came in time.", Outcome.UNKNOWN)
    return Refusal(503, "no-capacity", "No target became free in time.")


def now() -> float:
    """Return the present time on the monotonic clock in seconds."""
    return time.monotonic()
