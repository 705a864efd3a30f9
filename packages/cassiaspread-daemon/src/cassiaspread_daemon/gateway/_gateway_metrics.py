"""Counters and latency histograms of the gateway."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


class GatewayMetrics:
    """Instruments of one gateway, exported in Prometheus' text format.

    :param domain: failure domain, an attribute of every measurement.
    """

    def __init__(self, domain: str) -> None:
        self._attributes = {"domain": domain}
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = provider.get_meter("cassiaspread.gateway")
        self._requests = self._meter.create_counter(
            "cassiaspread.gateway.requests", description="Requests by kind and outcome."
        )
        self._durations = self._meter.create_histogram(
            "cassiaspread.gateway.request.duration",
            unit="s",
            description="Time from a request's headers to the end of its answer.",
        )
        self._first_events = self._meter.create_histogram(
            "cassiaspread.gateway.first_event",
            unit="s",
            description="Time from a stream's request to its first event.",
        )
        self._waits = self._meter.create_histogram(
            "cassiaspread.gateway.wait",
            unit="s",
            description="Time that a request waited for room on a chain.",
        )
        self._attempts = self._meter.create_counter(
            "cassiaspread.gateway.attempts", description="Requests sent, by result."
        )
        self._retries = self._meter.create_counter(
            "cassiaspread.gateway.retries",
            description="Retries that the budget allowed or denied.",
        )
        self._silences = self._meter.create_counter(
            "cassiaspread.gateway.silences",
            description="Silences of engines under a stream, by decision.",
        )
        self._notices = self._meter.create_counter(
            "cassiaspread.gateway.notices",
            description="What targets say of themselves, by kind.",
        )
        self._loop_delays = self._meter.create_histogram(
            "cassiaspread.gateway.loop.delay",
            unit="s",
            description="Time by which a timer of the event loop ran late.",
        )
        self._orders = self._meter.create_counter(
            "cassiaspread.gateway.orders", description="Orders to engines, by outcome."
        )

    def record_request(
        self, kind: str, outcome: str, status: int, duration_s: float
    ) -> None:
        """Count one ended request.

        :param kind: request kind of its route, ``unrouted`` if there was none.
        :param outcome: ``answered``, or the code of the failure.
        :param status: HTTP status of the answer, 0 if there was none.
        :param duration_s: time from its headers to its end, in seconds.
        """
        attributes = {**self._attributes, "kind": kind, "outcome": outcome}
        self._requests.add(1, {**attributes, "status": status})
        self._durations.record(duration_s, attributes)

    def record_first_event(self, elapsed_s: float) -> None:
        """Record the time to a stream's first event.

        :param elapsed_s: the time in seconds.
        """
        self._first_events.record(elapsed_s, self._attributes)

    def record_wait(self, waited_s: float) -> None:
        """Record how long a request waited for capacity.

        :param waited_s: the time in seconds.
        """
        self._waits.record(waited_s, self._attributes)

    def record_loop_delay(self, delay_s: float) -> None:
        """Record by how much a timer of the event loop ran late.

        :param delay_s: the delay in seconds.
        """
        self._loop_delays.record(delay_s, self._attributes)

    def record_attempt(self, result: str) -> None:
        """Count a request sent to a target.

        :param result: result of the attempt.
        """
        self._attempts.add(1, {**self._attributes, "result": result})

    def record_retry(self, is_allowed: bool) -> None:
        """Count a retry that was allowed or denied.

        :param is_allowed: whether the budget allowed it.
        """
        decision = "allowed" if is_allowed else "denied"
        self._retries.add(1, {**self._attributes, "decision": decision})

    def record_silence(self, decision: str) -> None:
        """Count a silence of an engine under a stream.

        :param decision: ``begins``, ``moves``, ``waits`` or ``gone``.
        """
        self._silences.add(1, {**self._attributes, "decision": decision})

    def record_notice(self, kind: str) -> None:
        """Count what a target says of itself.

        :param kind: ``leaving`` or ``pause``.
        """
        self._notices.add(1, {**self._attributes, "kind": kind})

    def record_order(self, outcome: str) -> None:
        """Count an order to an engine.

        :param outcome: outcome of the order.
        """
        self._orders.add(1, {**self._attributes, "outcome": outcome})

    def observe(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when metrics are collected.

        :param name: name of the instrument.
        :param description: description of the value.
        :param read: returns the value.
        """

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read(), self._attributes)]

        self._meter.create_observable_gauge(name, [callback], description=description)

    def observe_counts(
        self, name: str, description: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Add a counter by kind whose values are read when metrics are collected.

        :param name: name of the instrument.
        :param description: description of the values.
        :param read: returns the count of each kind.
        """

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(count, {**self._attributes, "kind": kind})
                for kind, count in read().items()
            ]

        self._meter.create_observable_counter(name, [callback], description=description)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(REGISTRY)
