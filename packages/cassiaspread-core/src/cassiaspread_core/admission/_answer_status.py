"""What the status of an answer says of its place in the exchange."""

from enum import Enum

# RFC 9110, section 15: the first digit is from 1 to 5, and 1 is for interim answers.
MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
# Their answers end with their headers.
BODILESS_STATUSES = frozenset({204, 304})


class AnswerStatus(Enum):
    """Place of an answer in its exchange."""

    # The final answer is still to come.
    INTERIM = "interim"
    FINAL = "final"
    # HTTP has no such status, or no request asked for it: nothing after it is an
    # answer either, and the request may have run.
    FOREIGN = "foreign"


def classify_status(status: int) -> AnswerStatus:
    """Return what may follow an answer with a status.

    No request asks for another protocol, so that a change of protocol is foreign.

    :param status: HTTP status code, of any number of digits.

    >>> [classify_status(status).value for status in (0, 101, 103, 204, 599, 600)]
    ['foreign', 'foreign', 'interim', 'final', 'final', 'foreign']
    """
    if MIN_FINAL_STATUS <= status <= MAX_STATUS:
        return AnswerStatus.FINAL
    is_interim = MIN_INTERIM_STATUS <= status < MIN_FINAL_STATUS
    if is_interim and status != SWITCHING_PROTOCOLS:
        return AnswerStatus.INTERIM
    return AnswerStatus.FOREIGN


def has_body(method: str, status: int) -> bool:
    """Return whether a final answer may have a body.

    :param method: method of the request.
    :param status: status of the answer.

    >>> has_body("GET", 200), has_body("HEAD", 200), has_body("POST", 204)
    (True, False, False)
    """
    return method != "HEAD" and status not in BODILESS_STATUSES
