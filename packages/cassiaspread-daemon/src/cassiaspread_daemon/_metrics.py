"""Metrics of one daemon."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from cassiaspread_core.admission import RequestMemory
from cassiaspread_daemon._caller_connections import CallerConnections
from cassiaspread_daemon.mesh import Traffic


class Metrics:
    """Metric instruments of one daemon, exported in the Prometheus text format.

    :param domain: failure domain, an attribute of all metrics.
    """

    def __init__(self, domain: str) -> None:
        self._attributes = {"domain": domain}
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = provider.get_meter("cassiaspread")
        self._requests = self._meter.create_counter(
            "cassiaspread.requests", description="Requests by kind and answer."
        )
        self._n_tokens = 0
        self._meter.create_observable_counter(
            "cassiaspread.tokens",
            [self._observe_tokens],
            description="Tokens relayed to callers.",
        )
        self._first_token = self._meter.create_histogram(
            "cassiaspread.first_token", unit="s", description="Time to first token."
        )

    def count_request(self, kind: str, status: int) -> None:
        """Count one answered request.

        :param kind: kind of the request.
        :param status: HTTP status of the response.
        """
        self._requests.add(1, {**self._attributes, "kind": kind, "status": status})

    def count_tokens(self, n_tokens: int) -> None:
        """Count relayed tokens.

        :param n_tokens: number of tokens.
        """
        self._n_tokens += n_tokens

    def record_first_token(self, seconds: float) -> None:
        """Record the time from the arrival of a request to its first token.

        :param seconds: the time in seconds.
        """
        self._first_token.record(seconds, self._attributes)

    def observe_gossip(self, traffic: Traffic) -> None:
        """Export the traffic between daemons.

        :param traffic: counters updated by the mesh.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for direction, n_bytes in (
                ("sent", traffic.sent_bytes),
                ("received", traffic.received_bytes),
            ):
                yield Observation(n_bytes, {**self._attributes, "direction": direction})

        self._meter.create_observable_counter(
            "cassiaspread.mesh",
            [observe],
            unit="By",
            description="Bytes of messages between daemons.",
        )

    def observe_requests(
        self, memory: RequestMemory, callers: CallerConnections
    ) -> None:
        """Export what the requests of callers hold, and what was not read.

        :param memory: bounds the requests.
        :param callers: their connections.
        """

        def observe_not_read(_: CallbackOptions) -> Iterable[Observation]:
            for reason, number in callers.n_not_read.items():
                yield Observation(number, {**self._attributes, "reason": reason})

        self._observe(
            "cassiaspread.request_memory",
            lambda: memory.n_bytes,
            "Bytes granted to requests that have not ended.",
            unit="By",
        )
        self._observe(
            "cassiaspread.requests_waiting_for_memory",
            lambda: memory.n_waiting,
            "Requests that are not read until memory is free.",
        )
        self._observe(
            "cassiaspread.caller_connections",
            lambda: callers.n_open,
            "Open connections of callers.",
        )
        self._meter.create_observable_counter(
            "cassiaspread.requests_not_read",
            [observe_not_read],
            description="Requests refused or ended to bound memory, and connections.",
        )

    def _observe(
        self, name: str, read: Callable[[], int], description: str, unit: str = ""
    ) -> None:
        self._meter.create_observable_gauge(
            name,
            [lambda _: [Observation(read(), self._attributes)]],
            unit=unit,
            description=description,
        )

    def _observe_tokens(self, options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._n_tokens, self._attributes)]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
