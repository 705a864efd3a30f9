"""Settings of a gateway."""

import msgspec

from cassiaspread_core.base import DomainId, VmId
from cassiaspread_daemon._settings import Address
from cassiaspread_daemon.gateway._frontend import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
)

# Settings that enable optional behaviour.
OPTIONAL_BEHAVIOUR = (
    "moves_streams_early",
    "orders_across_daemons",
    "paces_targets",
    "replaces_lost_engines",
)


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings of one gateway.

    :param vm: name of its VM.
    :param domain: its failure domain.
    :param listen: address for callers.
    :param readiness: address of the readiness check for the load balancer.
    :param metrics: address for metrics; ``None`` if they are not served.
    :param peer_listen: address for other daemons; ``None`` if they do not communicate.
    :param seeds: addresses of some other daemons.
    :param max_configuration_age_s: longest time that keys are accepted after the
        configuration was last confirmed to be current, in seconds.
    :param configuration_delay_s: time within which a configuration comes into force, in
        seconds.
    :param leaving_timeout_s: time within which a leaving target must get no more work,
        in seconds.
    :param retry_ratio: retries allowed for each request, over all daemons.
    :param retry_slack: retries allowed in a window beyond that, over all daemons.
    :param retry_window_s: length of that window in seconds.
    :param moves_streams_early: whether a stream that pauses for longer than is usual
        for it begins on a second chain, before its route's longest pause is over.
    :param replaces_lost_engines: whether the layers of engines that have ended are
        placed anew before the list of engines shows it.
    :param exit_timeout_s: time from SIGTERM to the end of the process, in seconds.
    :param paces_targets: whether targets that have just started or recovered get a
        limited number of requests at first.
    :param orders_across_daemons: whether the daemons of a failure domain share the
        order of the requests that wait for room.
    :param max_memory_bytes: memory that the process may use.
    :param max_descriptors: descriptors that the process may open.
    """

    vm: VmId
    domain: DomainId
    listen: Address
    readiness: Address
    metrics: Address | None = None
    peer_listen: Address | None = None
    seeds: tuple[Address, ...] = ()
    max_configuration_age_s: float = 5.0
    configuration_delay_s: float = 2.0
    leaving_timeout_s: float = 2.0
    retry_ratio: float = 0.2
    retry_slack: float = 128.0
    retry_window_s: float = 10.0
    moves_streams_early: bool = False
    replaces_lost_engines: bool = False
    exit_timeout_s: float = 8.0
    paces_targets: bool = False
    orders_across_daemons: bool = False
    max_memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_DESCRIPTORS
