"""A request with its routing decisions, and the refusals of requests."""

import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from cassiaspread_core.base import OrganisationId, Outcome, Refusal
from cassiaspread_core.chains import RequestDemand
from cassiaspread_core.quarantine import Fingerprint, RequestTraits
from cassiaspread_core.routing import Route, Service
from cassiaspread_daemon._problem import PROBLEM_CONTENT_TYPE, to_problem
from cassiaspread_daemon.gateway._frontend import InboundRequest
from cassiaspread_daemon.gateway._protocols import (
    AnswerParameters,
    HeaderCodec,
    RequestParameters,
)

# Retry times are extended by up to this fraction at random, so that callers refused
# together do not retry together.
RETRY_SPREAD = 0.5

BAD_REQUEST = 400

# Organisation of requests without keys.
NO_ORGANISATION = OrganisationId("")

# Takes one retry from a budget and returns whether one was left.
TakeRetry = Callable[[], Awaitable[bool]]


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A request to be sent to a target.

    :param inbound: the caller's request.
    :param parameters: parameters decoded from its headers.
    :param route: route that matches it.
    :param service: service that runs it.
    :param demand: tokens that it needs of a chain of engines.
    :param deadline_s: time on the monotonic clock at which it ends, unless its answer
        has begun, in seconds.
    :param answer_end_s: time at which an answer that has begun ends, in seconds.
    :param organisation: organisation that sent it, if requests carry keys.
    :param priority: rank, 0 first.
    :param fingerprint: common to all requests of one organisation with the same method,
        path and body.
    :param part_fingerprints: those of the shared parts of its prompt, in their order.
    """

    inbound: InboundRequest
    parameters: RequestParameters
    route: Route
    service: Service
    demand: RequestDemand
    deadline_s: float
    answer_end_s: float
    organisation: OrganisationId | None
    priority: int
    fingerprint: Fingerprint
    part_fingerprints: tuple[Fingerprint, ...] = ()

    @property
    def traits(self) -> RequestTraits:
        """What it has in common with other requests."""
        return RequestTraits(
            self.fingerprint,
            self.organisation or NO_ORGANISATION,
            self.service.name,
            self.part_fingerprints,
        )

    def remaining_s(self, now_s: float) -> float:
        """Return the time left in seconds.

        :param now_s: current time, in seconds.
        """
        return self.deadline_s - now_s


def send_refusal(
    inbound: InboundRequest,
    codec: HeaderCodec,
    parameters: RequestParameters,
    refusal: Refusal,
    random_state: random.Random,
) -> None:
    """Answer a request with a refusal.

    :param inbound: the request.
    :param codec: builds the headers of the answer.
    :param parameters: parameters decoded from the request's headers.
    :param refusal: reason and outcome.
    :param random_state: spreads the callers' retry times.
    """
    headers = {
        "Content-Type": PROBLEM_CONTENT_TYPE,
        **codec.refusal_headers(parameters.request_id),
    }
    if refusal.retry_after_s is not None:
        spread = random_state.uniform(1.0, 1.0 + RETRY_SPREAD)
        headers["Retry-After"] = f"{refusal.retry_after_s * spread:.3f}"
    body = msgspec.json.encode(to_problem(refusal))
    inbound.answer(refusal.status, headers, body)


def target_failed_refusal(detail: str) -> Refusal:
    """Return the refusal of a request that may have run.

    :param detail: description of the failure.
    """
    return Refusal(502, "target-failed", detail, Outcome.UNKNOWN)


def timeout_refusal(is_sent: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed.

    :param is_sent: whether a target may have run it.
    """
    if is_sent:
        return Refusal(504, "timeout", "No answer came in time.", Outcome.UNKNOWN)
    return Refusal(503, "no-capacity", "No target became free in time.")


def unix_time_s() -> float:
    """Return the time of day in seconds since the epoch."""
    return time.time()


def now() -> float:
    """Return the current time on the monotonic clock, in seconds."""
    return time.monotonic()


def is_request_refused(job: Job, answer: AnswerParameters) -> bool:
    """Return whether a target refused a request that any other would refuse as well.

    It has no identifier, which the target requires.

    :param job: the request.
    :param answer: decoded answer of the target.
    """
    is_refusal = answer.is_not_run and answer.status == BAD_REQUEST
    return is_refusal and not job.parameters.request_id
