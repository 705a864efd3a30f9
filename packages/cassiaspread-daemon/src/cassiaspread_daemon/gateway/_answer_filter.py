"""Which of the responses on a connection belongs to a request."""

from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import RequestId, TargetId, shorten
from cassiaspread_daemon._exchange import AnswerFilter, Exchange
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._protocols import HeaderCodec


def answer_filter(
    codec: HeaderCodec,
    log: DecisionLog,
    request_id: RequestId,
    target: TargetId,
    exchange: Exchange,
) -> AnswerFilter:
    """Return a function that decides whether a response belongs to a request.

    A response proves it with the identifier. One that carries none, or another one,
    counts for nothing, whatever it says: not as an answer, and not as a refusal.

    :param codec: decodes headers of responses.
    :param log: receives a line for each response that does not name the request.
    :param request_id: the request.
    :param target: target that the request is sent to.
    :param exchange: connection to it.
    """

    def is_expected(status: int, headers: HTTPHeaders) -> bool:
        named = codec.answered_request(headers)
        # A caller's request without an identifier is sent over a new connection, which
        # proves whose answer comes first.
        is_own = named == (request_id or None)
        if not is_own:
            answer = codec.read_answer(status, headers)
            log.record(
                "answer.unproven",
                request=request_id,
                target=target,
                status=status,
                named=None if named is None else shorten(named),
                is_signed=answer.is_signed,
                is_not_run=answer.is_not_run,
                n_requests=exchange.n_requests,
            )
        return is_own

    return is_expected
