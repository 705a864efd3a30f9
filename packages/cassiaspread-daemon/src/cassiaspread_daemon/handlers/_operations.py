"""Health, metrics and the operators' interface."""

import msgspec

from cassiaspread_daemon.handlers._base import BaseHandler, OperatorHandler


class HealthHandler(BaseHandler):
    """``GET /healthz``: the process runs."""

    def get(self) -> None:
        """Answer at once."""
        self.finish({"status": "ok"})


class ReadyHandler(BaseHandler):
    """``GET /readyz``: the balancer may send requests."""

    def get(self) -> None:
        """Answer 503 with the reasons while not ready."""
        reasons = self.node.not_ready_reasons()
        self.set_status(503 if reasons else 200)
        self.finish({"state": self.node.state.value, "reasons": reasons})


class MetricsHandler(BaseHandler):
    """``GET /metrics``: Prometheus' text format."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.node.metrics.render())


class EventsHandler(OperatorHandler):
    """``GET /operators/events``: this daemon's part of the time line."""

    def get(self) -> None:
        """Answer with the kept events, or those of ``?request=``."""
        events = self.node.events.events(self.get_query_argument("request", None))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(events))
