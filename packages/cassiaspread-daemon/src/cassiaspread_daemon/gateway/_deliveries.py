"""Record of ended answers whose bytes have not reached their callers.

An answer has ended for the gateway once it is written. Until its caller has
acknowledged it, it may wait on the way, for example behind other data on a slow link.
"""

import msgspec

from cassiaspread_core.base import RequestId
from cassiaspread_daemon._caller_stream import CallerStream
from cassiaspread_daemon.gateway._decision_log import DecisionLog

# An answer that takes longer is logged, in seconds.
MAX_DELIVERY_S = 0.2


class _Delivery(msgspec.Struct):
    request: RequestId
    ended_s: float
    is_logged: bool = False


class Deliveries:
    """Answers that have ended and were not acknowledged yet, one for each connection.

    :param log: receives a line for each answer that is delayed or does not arrive.
    """

    def __init__(self, log: DecisionLog | None) -> None:
        self._log = log
        self._deliveries: dict[CallerStream, _Delivery] = {}

    def __len__(self) -> int:
        """Return the number of answers."""
        return len(self._deliveries)

    def add(self, stream: CallerStream, request: RequestId, now_s: float) -> None:
        """Follow an answer that has ended.

        :param stream: connection that it was written to.
        :param request: the request.
        :param now_s: current time, in seconds.
        """
        if self._log is not None and not stream.closed():
            self._deliveries[stream] = _Delivery(request, now_s)

    def check(self, now_s: float) -> None:
        """Remove the answers that were acknowledged; log those that are delayed.

        :param now_s: current time, in seconds.
        """
        for stream, delivery in list(self._deliveries.items()):
            age_s = now_s - delivery.ended_s
            if age_s < MAX_DELIVERY_S:
                continue
            n_bytes = stream.n_unacknowledged
            if n_bytes and not delivery.is_logged:
                delivery.is_logged = True
                self._record("answer.delayed", delivery, n_bytes, now_s)
            elif not n_bytes:
                del self._deliveries[stream]
                if delivery.is_logged:
                    self._record("answer.delivered", delivery, 0, now_s)

    def close(self, stream: CallerStream, now_s: float) -> None:
        """Stop following the answer on a connection that is closed.

        :param stream: the connection.
        :param now_s: current time, in seconds.
        """
        delivery = self._deliveries.pop(stream, None)
        # After a close by the gateway the kernel goes on sending.
        if delivery is not None and stream.is_ended and stream.n_unacknowledged:
            n_bytes = stream.n_unacknowledged
            self._record("answer.not_delivered", delivery, n_bytes, now_s)

    def _record(
        self, event: str, delivery: _Delivery, n_bytes: int, now_s: float
    ) -> None:
        if self._log is not None:
            self._log.record(
                event,
                request=delivery.request,
                n_bytes=n_bytes,
                since_end_ms=round((now_s - delivery.ended_s) * 1000),
            )
