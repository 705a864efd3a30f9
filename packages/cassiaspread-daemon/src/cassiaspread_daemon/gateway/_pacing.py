"""What the pace of targets needs of a gateway: ranks, log lines and metrics."""

from cassiaspread_core.base import DomainId
from cassiaspread_core.membership import rank_members
from cassiaspread_core.targets import PaceChange, TargetPaces
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.mesh import Mesh


def rank_in_domain(mesh: Mesh | None, domain: DomainId, key: str) -> tuple[int, int]:
    """Return this daemon's rank among those of its failure domain, and their number.

    :param mesh: messages between daemons; ``None`` if there is only this one.
    :param domain: the failure domain.
    :param key: key that the daemons are ranked for.
    :returns: the rank, 0 first; the number of daemons if this one takes no work.
    """
    if mesh is None:
        return 0, 1
    active = [m for m in mesh.active_members() if m.domain == domain]
    ranked = [member.incarnation for member in rank_members(key, active)]
    own = mesh.sender.incarnation
    return ranked.index(own) if own in ranked else len(ranked), len(ranked)


def log_pace(log: DecisionLog, change: PaceChange) -> None:
    """Write a line for a change of a target's limit.

    :param log: the log.
    :param change: the change.
    """
    log.record(
        f"pace.{change.event.value}",
        target=change.target,
        limit=change.limit,
        n_resets=change.n_resets,
        reason=change.reason,
    )


def observe_paces(
    paces: TargetPaces, dispatcher: Dispatcher, metrics: GatewayMetrics
) -> None:
    """Add the metrics of paced targets.

    :param paces: the paced targets.
    :param dispatcher: assigns requests to targets.
    :param metrics: the metrics.
    """
    metrics.observe(
        "cassiaspread.gateway.paced_targets",
        "Targets that have just started or recovered and have a limit.",
        lambda: paces.n_paced,
    )
    metrics.observe_counts(
        "cassiaspread.gateway.paced_requests",
        "Requests assigned while a target was at its limit: to another target"
        " (elsewhere), or to that one all the same (beyond).",
        lambda: dispatcher.n_by_pace,
    )
