"""Plans: chains of engines that cover each layer of a model exactly once, in order."""

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from cassiaspread_core.base import (
    Count,
    DomainId,
    MalformedDocument,
    ModelId,
    PositiveCount,
    TargetId,
    VmState,
    parse_address,
)

# One day; no engine takes longer for a step.
MAX_STEP_MS = 86_400_000.0

StepTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_STEP_MS)]


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Status report of an engine.

    :param target: identifier of the engine.
    :param address: ``host:port`` of its HTTP server.
    :param link: ``host:port`` where it receives activations from other engines.
    :param domain: failure domain of its VM.
    :param model: model whose layers it holds.
    :param begin: first layer held.
    :param end: one past the last layer held.
    :param accelerator: kind of accelerator.
    :param step_ms: time of one decoding step over its layers, in milliseconds.
    :param n_slots: sequences that it decodes concurrently at full speed.
    :param n_running: sequences that it was decoding when it reported.
    :param n_queued: sequences that were waiting when it reported.
    :param state: whether it takes new work.
    :param incarnation: identifier of this start of the engine.
    """

    target: TargetId
    address: str
    link: str
    domain: DomainId
    model: ModelId
    begin: Count
    end: Count
    accelerator: str = ""
    step_ms: StepTime = 0.0
    n_slots: PositiveCount = 1
    n_running: Count = 0
    n_queued: Count = 0
    state: VmState = VmState.LIVE
    incarnation: str = ""


def check_report(report: EngineReport) -> EngineReport:
    """Check the fields of a report whose type does not tell whether they are usable.

    :param report: report of an engine, as decoded.
    :returns: the report.
    :raises MalformedDocument: an address is no IP address with a port, the target has
        no name, or the engine holds no layer.
    """
    if not report.target:
        raise MalformedDocument("report of an engine without a name")
    if report.end <= report.begin:
        raise MalformedDocument(
            f"engine {report.target} holds layers [{report.begin}, {report.end})"
        )
    parse_address(report.address)
    parse_address(report.link)
    return report


class Stage(msgspec.Struct, frozen=True):
    """One engine of a plan and the layers that it runs.

    :param engine: identifier of the engine.
    :param address: ``host:port`` of its HTTP server.
    :param link: ``host:port`` where it receives activations.
    :param begin: first layer run here.
    :param end: one past the last layer run here.
    """

    engine: TargetId
    address: str
    link: str
    begin: Count
    end: Count


Plan = tuple[Stage, ...]


def check_plan(plan: Plan, n_layers: int) -> None:
    """Check that a plan runs each layer exactly once, in order.

    :param plan: stages in the order in which they run.
    :param n_layers: layers of the model.
    :raises ValueError: a layer is missing, repeated or out of order.

    >>> check_plan((Stage("a", "", "", 0, 4), Stage("b", "", "", 4, 8)), 8)
    >>> check_plan((Stage("a", "", "", 0, 4),), 8)
    Traceback (most recent call last):
    ...
    ValueError: layers [4, 8) are not covered
    """
    layer = 0
    for stage in plan:
        if stage.begin != layer or stage.end <= stage.begin:
            raise ValueError(f"stage {stage.engine} does not begin at layer {layer}")
        layer = stage.end
    if layer != n_layers:
        raise ValueError(f"layers [{layer}, {n_layers}) are not covered")


def choose_plan(
    engines: Iterable[EngineReport],
    n_layers: int,
    stage_cost: Callable[[EngineReport], float],
    link_cost: Callable[[EngineReport, EngineReport], float],
) -> Plan | None:
    """Choose the chain of engines with the lowest predicted cost.

    The plan is the shortest path in the graph that has engines as nodes and an edge
    from each engine to those that begin at the layer where it ends.

    :param engines: usable engines.
    :param n_layers: layers of the model.
    :param stage_cost: predicted milliseconds of one step on an engine.
    :param link_cost: predicted milliseconds of one transfer between two engines.
    :returns: the plan, or ``None`` when no chain covers the model.
    """
    by_begin: dict[int, list[EngineReport]] = {}
    for engine in engines:
        by_begin.setdefault(engine.begin, []).append(engine)
    best: dict[TargetId, tuple[float, EngineReport, TargetId | None]] = {}
    ends: dict[int, list[EngineReport]] = {}
    for begin in sorted(by_begin):
        for engine in by_begin[begin]:
            found = _cheapest_predecessor(engine, ends, best, link_cost)
            if found is None:
                continue
            cost, predecessor = found
            best[engine.target] = (cost + stage_cost(engine), engine, predecessor)
            ends.setdefault(engine.end, []).append(engine)
    tails = ends.get(n_layers, [])
    if not tails:
        return None
    tail = min(tails, key=lambda engine: best[engine.target][0])
    return _trace_back(tail.target, best)


def _cheapest_predecessor(
    engine: EngineReport,
    ends: dict[int, list[EngineReport]],
    best: dict[TargetId, tuple[float, EngineReport, TargetId | None]],
    link_cost: Callable[[EngineReport, EngineReport], float],
) -> tuple[float, TargetId | None] | None:
    if engine.begin == 0:
        return 0.0, None
    return min(
        (
            (best[before.target][0] + link_cost(before, engine), before.target)
            for before in ends.get(engine.begin, [])
        ),
        default=None,
    )


def _trace_back(
    tail: TargetId,
    best: dict[TargetId, tuple[float, EngineReport, TargetId | None]],
) -> Plan:
    stages: list[Stage] = []
    target: TargetId | None = tail
    while target is not None:
        _, engine, target = best[target]
        stages.append(
            Stage(engine.target, engine.address, engine.link, engine.begin, engine.end)
        )
    return tuple(reversed(stages))
