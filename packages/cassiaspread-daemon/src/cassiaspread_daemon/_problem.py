"""Problem details of a refusal (RFC 9457)."""

import msgspec

from cassiaspread_core.base import Outcome, Refusal

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:cassiaspread:problem:"


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of the response to a refused request."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome
    retry_after_s: float | None = None


def to_problem(refusal: Refusal) -> Problem:
    """Return the problem details of a refusal.

    :param refusal: the refusal.
    """
    return Problem(
        type=PROBLEM_TYPE_PREFIX + refusal.code,
        title=refusal.code.replace("-", " ").capitalize(),
        status=refusal.status,
        detail=refusal.detail,
        outcome=refusal.outcome,
        retry_after_s=refusal.retry_after_s,
    )
