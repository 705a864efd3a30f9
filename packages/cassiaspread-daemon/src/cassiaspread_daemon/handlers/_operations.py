"""Health, metrics and state of the daemon."""

import msgspec

from cassiaspread_core.base import ServiceId, TargetId, VmState
from cassiaspread_core.operations import DaemonReport, PeerReport, TargetReport
from cassiaspread_core.policy import TargetPolicy
from cassiaspread_daemon._node import Node
from cassiaspread_daemon.fleet._target_location import TargetLocation
from cassiaspread_daemon.handlers._base import BaseHandler, OperatorHandler


class HealthHandler(BaseHandler):
    """``GET /healthz``: whether the process runs."""

    def get(self) -> None:
        """Answer immediately."""
        self.finish({"status": "ok"})


class ReadyHandler(BaseHandler):
    """``GET /readyz``: whether the balancer may send requests."""

    def get(self) -> None:
        """Answer with status 503 and the reasons while not ready."""
        reasons = self.node.not_ready_reasons()
        self.set_status(503 if reasons else 200)
        self.finish({"state": self.node.state.value, "reasons": reasons})


class MetricsHandler(BaseHandler):
    """``GET /metrics``: metrics in the Prometheus text format."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.node.metrics.render())


class EventsHandler(OperatorHandler):
    """``GET /operators/events``: events of this daemon for the time line."""

    def get(self) -> None:
        """Answer with all retained events, or those of ``?request=``."""
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
            n_targets=sum(target.is_usable for target in _list_targets(node)),
            policy=node.policy_follower.status(),
            peers=tuple(
                PeerReport(peer.sender.vm, peer.sender.domain)
                for peer in node.mesh.peers()
            ),
        )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))


class TargetsHandler(OperatorHandler):
    """``GET /operators/targets``: all targets that are listed or up."""

    def get(self) -> None:
        """Answer with one report for each target."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(_list_targets(self.node)))


class PolicyHandler(OperatorHandler):
    """``GET /operators/policy``: accepted entries and the offset that they cover."""

    def get(self) -> None:
        """Answer with the complete state."""
        self.set_header("Content-Type", "application/json")
        snapshot = self.node.policy_follower.state.snapshot()
        self.finish(msgspec.json.encode(snapshot))


def _list_targets(node: Node) -> list[TargetReport]:
    service_by_target = {
        TargetId(vm.vm): service
        for service in node.policy.services
        for vm in node.targets.services(service)
    }
    return [
        _to_report(node, location, service_by_target)
        for location in node.targets.locations()
    ]


def _to_report(
    node: Node, location: TargetLocation, service_by_target: dict[TargetId, ServiceId]
) -> TargetReport:
    observation = node.targets.usable_observation(location.target)
    engine = observation.report if observation is not None else None
    is_service = location.target in service_by_target
    return TargetReport(
        target=location.target,
        kind=location.kind,
        name=engine.model if engine else service_by_target.get(location.target, ""),
        domain=location.domain,
        address=location.address,
        state=VmState.LEAVING if location.is_listed_leaving else VmState.LIVE,
        is_usable=engine is not None or is_service,
        begin=engine.begin if engine else None,
        end=engine.end if engine else None,
        n_in_flight=node.targets.n_in_flight(location.target),
        checks_fencing=_checks_fencing(node, location.target),
    )


def _checks_fencing(node: Node, target: TargetId) -> bool:
    return node.policy.targets.get(target, TargetPolicy()).checks_fencing
