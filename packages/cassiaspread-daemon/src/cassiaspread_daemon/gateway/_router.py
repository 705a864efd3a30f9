"""Handling of callers' requests: route, key, service, forwarding and refusal."""

import asyncio
import random

from cassiaspread_core.base import (
    OrganisationId,
    Outcome,
    Refusal,
    RequestId,
    ServiceId,
)
from cassiaspread_core.chains import RequestDemand
from cassiaspread_core.quarantine import (
    Fingerprint,
    call_content,
    fingerprint_of,
    part_fingerprint,
)
from cassiaspread_core.routing import (
    Organisation,
    RequestKind,
    Route,
    RouteTable,
    Service,
)
from cassiaspread_daemon.gateway._closing import Closing, leaving_refusal
from cassiaspread_daemon.gateway._decision_log import DecisionLog, describe_error
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._frontend import CallerDisconnected, InboundRequest
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import (
    NO_ORGANISATION,
    Job,
    now,
    send_refusal,
)
from cassiaspread_daemon.gateway._plain import PlainForwarder
from cassiaspread_daemon.gateway._protocols import HeaderCodec, RequestParameters
from cassiaspread_daemon.gateway._retry_limits import RetryLimits
from cassiaspread_daemon.gateway._routing_state import RoutingState, suspended_clock_s
from cassiaspread_daemon.gateway._stream import StreamForwarder

# Retry time while the daemon has not read the configuration yet, or not recently.
RETRY_AFTER_UNKNOWN_S = 0.5
# Retry time while an entry of the configuration cannot be used, until its next version.
RETRY_AFTER_UNUSABLE_S = 5.0
LOWEST_PRIORITY = 9
ANY_SERVICE = ServiceId("")
# Timeout of a request whose caller specifies none, in seconds.
DEFAULT_TIMEOUT_S = 60.0
# A refusal leaves this long before the caller's deadline, so that it arrives in time: a
# fraction of the caller's timeout, and the bounds of that time in seconds.
REFUSAL_LEAD_RATIO = 0.02
MIN_REFUSAL_LEAD_S = 0.005
MAX_REFUSAL_LEAD_S = 0.05
INTERNAL_ERROR = "internal-error"


class Router:
    """Answers callers' requests.

    :param codec: encodes and decodes headers of requests and answers.
    :param routing_state: configuration and targets.
    :param dispatcher: selects targets.
    :param plain: sends requests to plain services.
    :param stream: relays streams.
    :param retries: retry budgets.
    :param configuration_delay_s: age in seconds beyond which a configuration may lack
        routes and keys that are already in force on other daemons.
    :param log: receives a line for each decision.
    :param metrics: counts requests.
    :param random_state: selects among a route's services and spreads retry times.
    :param closing: decides what is passed on once the daemon leaves.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        routing_state: RoutingState,
        dispatcher: Dispatcher,
        plain: PlainForwarder,
        stream: StreamForwarder,
        retries: RetryLimits,
        configuration_delay_s: float,
        log: DecisionLog,
        metrics: GatewayMetrics,
        random_state: random.Random,
        closing: Closing,
    ) -> None:
        self._codec = codec
        self._routing_state = routing_state
        self._dispatcher = dispatcher
        self._plain = plain
        self._stream = stream
        self._retries = retries
        self._configuration_delay_s = configuration_delay_s
        self._log = log
        self._metrics = metrics
        self._random_state = random_state
        self._closing = closing

    async def handle(self, inbound: InboundRequest) -> None:
        """Answer one request.

        :param inbound: the request.
        """
        parameters = RequestParameters(request_id=RequestId(""))
        fingerprint: Fingerprint | None = None
        kind = "unrouted"
        outcome = "answered"
        try:
            try:
                parameters = self._codec.read_request(inbound.headers)
                inbound.request_id = parameters.request_id
            except ValueError as error:
                raise Refusal(400, "bad-request", str(error)) from None
            if inbound.refusal is not None:
                raise inbound.refusal
            job = self._prepare(inbound, parameters)
            kind, fingerprint = job.route.kind.value, job.fingerprint
            self._closing.check(job, now())
            take_retry = self._retries.record_request(
                job.service.name, parameters.request_id
            )
            if job.route.kind is RequestKind.STREAM:
                await self._stream.forward(job, take_retry)
            else:
                await self._plain.forward(job, take_retry)
        except Refusal as refusal:
            outcome = refusal.code
            self._refuse(inbound, parameters, refusal)
        except CallerDisconnected:
            outcome = "caller-gone"
        except asyncio.CancelledError as error:
            refusal = inbound.interruption
            if not _is_cancelled():
                # Something that it waited for was; its caller is still there.
                outcome = INTERNAL_ERROR
                self._answer_error(inbound, parameters, error)
            elif refusal is None or inbound.is_started:
                outcome = "cancelled"
                raise
            else:
                if not inbound.is_passed_on:
                    refusal = leaving_refusal()
                outcome = refusal.code
                self._refuse(inbound, parameters, refusal)
        except Exception as error:
            outcome = INTERNAL_ERROR
            self._answer_error(inbound, parameters, error)
        finally:
            self._record_end(inbound, parameters, kind, fingerprint, outcome)

    def _prepare(self, inbound: InboundRequest, parameters: RequestParameters) -> Job:
        table = self._routing_state.table
        if table is None:
            raise _not_known_refusal("No configuration is known yet.")
        route = table.find_route(inbound.headers.get("Host", ""), inbound.path)
        if route is None:
            self._check_configuration_age()
            raise Refusal(404, "unknown-route", "No route matches host and path.")
        _check_usable(route.is_usable, "this route")
        organisation = self._find_organisation(table, route, parameters)
        service = self._choose_service(table, route)
        timeout_s = (
            parameters.timeout_s
            if parameters.timeout_s is not None
            else DEFAULT_TIMEOUT_S
        )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        organisation_id = None if organisation is None else organisation.name
        return Job(
            inbound=inbound,
            parameters=parameters,
            route=route,
            service=service,
            demand=self._estimate_demand(route, service, parameters),
            deadline_s=inbound.arrived_s
            + min(timeout_s - refusal_lead_s(timeout_s), route.timeout_s),
            answer_end_s=inbound.arrived_s + min(timeout_s, route.timeout_s),
            organisation=organisation_id,
            priority=min(LOWEST_PRIORITY, priority),
            fingerprint=_fingerprint_of(inbound, organisation_id),
            part_fingerprints=tuple(map(part_fingerprint, parameters.shared_parts)),
        )

    def _find_organisation(
        self, table: RouteTable, route: Route, parameters: RequestParameters
    ) -> Organisation | None:
        if not table.requires_keys or route.is_anonymous:
            return None
        if not self._routing_state.configuration_age.is_valid(suspended_clock_s()):
            raise _not_known_refusal(
                "It is not known whether the key is still in force."
            )
        organisation = table.find_organisation(parameters.key or "")
        if organisation is None:
            self._check_configuration_age()
            raise Refusal(401, "unknown-key", "The key belongs to no organisation.")
        _check_usable(organisation.is_usable, "the key's organisation")
        return organisation

    def _check_configuration_age(self) -> None:
        age_s = self._routing_state.configuration_age.age_s(suspended_clock_s())
        if age_s > self._configuration_delay_s:
            raise _not_known_refusal(
                "The configuration may have changed since it was read."
            )

    def _choose_service(self, table: RouteTable, route: Route) -> Service:
        services = [
            table.services.get(backend.service, Service(backend.service))
            for backend in route.backends
        ]
        weights = [
            backend.weight * service.is_usable
            for backend, service in zip(route.backends, services, strict=True)
        ]
        if sum(weights) <= 0:
            weights = [float(service.is_usable) for service in services]
        _check_usable(any(weights), "the route's service")
        return self._random_state.choices(services, weights)[0]

    def _estimate_demand(
        self, route: Route, service: Service, parameters: RequestParameters
    ) -> RequestDemand:
        model = service.model
        answer = parameters.answer_hint or (model.usual_answer if model else 0)
        if parameters.max_answer_tokens:
            answer = min(answer, parameters.max_answer_tokens)
        return RequestDemand(
            parameters.prompt_tokens,
            answer,
            self._dispatcher.domain,
            route.may_repeat,
        )

    def _refuse(
        self, inbound: InboundRequest, parameters: RequestParameters, refusal: Refusal
    ) -> None:
        if inbound.is_started:
            inbound.abort()
            return
        send_refusal(inbound, self._codec, parameters, refusal, self._random_state)

    def _answer_error(
        self,
        inbound: InboundRequest,
        parameters: RequestParameters,
        error: BaseException,
    ) -> None:
        self._log.record(
            "request.failed", request=parameters.request_id, **describe_error(error)
        )
        self._refuse(inbound, parameters, _internal_refusal())

    def _record_end(
        self,
        inbound: InboundRequest,
        parameters: RequestParameters,
        kind: str,
        fingerprint: Fingerprint | None,
        outcome: str,
    ) -> None:
        elapsed_s = now() - inbound.arrived_s
        table = self._routing_state.table
        self._metrics.record_request(kind, outcome, inbound.status, elapsed_s)
        self._log.record(
            "request.ended",
            request=parameters.request_id,
            kind=kind,
            path=inbound.path,
            fingerprint=fingerprint,
            status=inbound.status,
            outcome=outcome,
            elapsed_ms=round(elapsed_s * 1000, 1),
            configuration=None if table is None else table.version,
        )


def refusal_lead_s(timeout_s: float) -> float:
    """Return how long before a caller's deadline its request is refused, in seconds.

    :param timeout_s: the caller's timeout, in seconds.

    >>> refusal_lead_s(0.1), refusal_lead_s(0.5), refusal_lead_s(20.0)
    (0.005, 0.01, 0.05)
    """
    lead_s = max(MIN_REFUSAL_LEAD_S, REFUSAL_LEAD_RATIO * timeout_s)
    return min(MAX_REFUSAL_LEAD_S, lead_s)


def _fingerprint_of(
    inbound: InboundRequest, organisation: OrganisationId | None
) -> Fingerprint:
    # A route may change its service, so the service is no part of it.
    content = call_content(inbound.method, inbound.target, inbound.body)
    return fingerprint_of(organisation or NO_ORGANISATION, ANY_SERVICE, content)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _internal_refusal() -> Refusal:
    detail = "The request could not be handled; it may have run."
    return Refusal(500, INTERNAL_ERROR, detail, Outcome.UNKNOWN)


def _check_usable(is_usable: bool, what: str) -> None:
    """Refuse a request that needs an entry which could not be decoded."""
    if not is_usable:
        raise Refusal(
            503,
            "unusable-configuration",
            f"The configuration of {what} cannot be used.",
            retry_after_s=RETRY_AFTER_UNUSABLE_S,
        )


def _not_known_refusal(detail: str) -> Refusal:
    return Refusal(
        503, "not-known", detail, Outcome.NOT_RUN, retry_after_s=RETRY_AFTER_UNKNOWN_S
    )
