"""Health, metrics and the operators' interface."""

import msgspec
from cassiaspread_core.base import ModelId, ServiceId, TargetId, TargetKind
from cassiaspread_core.operations import DaemonReport, PeerReport, TargetReport
from cassiaspread_core.policy import TargetPolicy

from cassiaspread_daemon._node import Node
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


class StatusHandler(OperatorHandler):
    """``GET /operators/status``: state of this daemon."""

    def get(self) -> None:
        """Answer with the report."""
        node = self.node
        report = DaemonReport(
            vm=node.settings.vm,
            domain=node.settings.domain,
            incarnation=node.incarnation,
            state=node.state.value,
            reasons=tuple(node.not_ready_reasons()),
            n_requests=node.n_requests,
            n_targets=len(_list_targets(node)),
            policy=node.policy_follower.status(),
            peers=tuple(
                PeerReport(peer.sender.vm, peer.sender.domain)
                for peer in node.mesh.peers()
            ),
        )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))


class TargetsHandler(OperatorHandler):
    """``GET /operators/targets``: the targets that this daemon would use."""

    def get(self) -> None:
        """Answer with one report for each target."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(_list_targets(self.node)))


class PolicyHandler(OperatorHandler):
    """``GET /operators/policy``: the accepted entries and the offset they cover."""

    def get(self) -> None:
        """Answer with the whole state."""
        self.set_header("Content-Type", "application/json")
        snapshot = self.node.policy_follower.state.snapshot()
        self.finish(msgspec.json.encode(snapshot))


def _list_targets(node: Node) -> list[TargetReport]:
    return [
        *(report for m in node.policy.models for report in _list_engines(node, m)),
        *(report for s in node.policy.services for report in _list_services(node, s)),
    ]


def _list_engines(node: Node, model: ModelId) -> list[TargetReport]:
    return [
        TargetReport(
            target=engine.target,
            kind=TargetKind.ENGINE,
            name=model,
            domain=engine.domain,
            address=engine.address,
            state=engine.state,
            begin=engine.begin,
            end=engine.end,
            n_in_flight=node.targets.n_in_flight(engine.target),
            checks_fencing=_checks_fencing(node, engine.target),
        )
        for engine in node.targets.engines(model)
    ]


def _list_services(node: Node, service: ServiceId) -> list[TargetReport]:
    return [
        TargetReport(
            target=TargetId(vm.vm),
            kind=TargetKind.SERVICE,
            name=service,
            domain=vm.domain,
            address=vm.address,
            state=vm.state,
            n_in_flight=node.targets.n_in_flight(TargetId(vm.vm)),
            checks_fencing=_checks_fencing(node, TargetId(vm.vm)),
        )
        for vm in node.targets.services(service)
    ]


def _checks_fencing(node: Node, target: TargetId) -> bool:
    return node.policy.targets.get(target, TargetPolicy()).checks_fencing
