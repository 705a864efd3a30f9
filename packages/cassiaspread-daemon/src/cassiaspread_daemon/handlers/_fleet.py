"""Operator endpoints for draining targets and for the state of the fleet."""

import msgspec

from cassiaspread_core.base import MalformedDocument, Refusal, TargetId, decode_json
from cassiaspread_core.operations import (
    DrainReport,
    MemberReport,
    ObservationReport,
)
from cassiaspread_daemon.fleet import UnknownTarget
from cassiaspread_daemon.handlers._base import OperatorHandler


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /operators/drain``.

    :param target: target identifier of an engine, or VM of a plain service.
    """

    target: TargetId


class DrainHandler(OperatorHandler):
    """``POST /operators/drain``: a target gets no new work from any daemon."""

    def post(self) -> None:
        """Mark the current incarnation of the target as leaving."""
        try:
            body = decode_json(self.body, DrainBody)
        except MalformedDocument as error:
            raise Refusal(400, "bad-body", f"{error}.") from None
        try:
            mark = self.node.targets.drain(body.target)
        except UnknownTarget as error:
            raise Refusal(404, "unknown-target", f"{error}.") from None
        n_in_flight = self.node.targets.n_in_flight(mark.target)
        report = DrainReport(mark.target, mark.incarnation, n_in_flight)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))


class MembersHandler(OperatorHandler):
    """``GET /operators/members``: states of other daemons, as recorded by this one."""

    def get(self) -> None:
        """Answer with all recorded daemons except this one."""
        members = [
            MemberReport(m.vm, m.domain, m.incarnation, m.address, state)
            for m, state in self.node.mesh.member_states()
        ]
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(members))


class ObservationsHandler(OperatorHandler):
    """``GET /operators/observations``: states of targets, as recorded here."""

    def get(self) -> None:
        """Answer with all targets that are listed or up."""
        targets = self.node.targets
        reports = []
        for location in targets.locations():
            observation = targets.usable_observation(location.target)
            reports.append(
                ObservationReport(
                    location.target,
                    location.domain,
                    observation is not None,
                    observation.incarnation if observation else "",
                    tuple(targets.pollers_of(location)),
                    targets.n_in_flight(location.target),
                )
            )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(reports))
