"""Probe that tells a target that has ended from a connection that broke."""

from enum import Enum

from cassiaspread_daemon._exchange import ConnectFailed, ConnectRefused, Exchange
from cassiaspread_daemon.gateway._shared_calls import SharedCalls

# A target in the same region accepts or refuses a connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
# Time within which a process that is ending closes a connection that it still accepts,
# in seconds.
CONFIRM_S = 0.03
# All requests that one target interrupts share a probe, in seconds.
PROBE_LIFETIME_S = 0.3


class ProbeResult(Enum):
    """Result of a probe.

    ALIVE: the target accepted a new connection.
    REFUSED: nothing listens at its address.
    SILENT: it did not respond; its machine may have ended or may be cut off.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"


class LossProbe:
    """Opens connections to targets under which a request was interrupted."""

    def __init__(self) -> None:
        self._probes = SharedCalls(_connect, PROBE_LIFETIME_S)

    async def run(self, address: str, now_s: float) -> ProbeResult:
        """Probe a target.

        :param address: ``host:port``.
        :param now_s: current time, in seconds.
        """
        return await self._probes.result(address, now_s)


async def _connect(address: str) -> ProbeResult:
    try:
        with await Exchange.open(address, CONNECT_TIMEOUT_S) as exchange:
            if not await exchange.is_closed_within(CONFIRM_S):
                return ProbeResult.ALIVE
        # A target also closes connections beyond its limit.
        with await Exchange.open(address, CONNECT_TIMEOUT_S):
            return ProbeResult.ALIVE
    except ConnectRefused:
        return ProbeResult.REFUSED
    except ConnectFailed:
        return ProbeResult.SILENT
