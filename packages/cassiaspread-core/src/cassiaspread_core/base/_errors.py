"""Base class of the exceptions, refusals and collected input errors."""

from typing import NamedTuple

from cassiaspread_core.base._states import Outcome


class CassiaspreadError(Exception):
    """Base class of all exceptions that the project raises on purpose."""


class Finding(NamedTuple):
    """One error found in an input.

    :param place: location of the error: a file and key path, a flag or a variable.
    :param message: description of the error and of the expected value.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(CassiaspreadError):
    """All errors found in one input, raised together.

    :param findings: the errors, at least one.

    >>> print(FindingsError([Finding("--listen", "expected HOST:PORT")]))
    --listen: expected HOST:PORT
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class Refusal(CassiaspreadError):
    """A request that is not answered completely, with the reason and the outcome.

    :param status: HTTP status code.
    :param code: stable identifier of the reason, such as ``unknown-model``.
    :param detail: one sentence for the caller.
    :param outcome: whether the request is known not to have run.
    :param retry_after_s: seconds after which a retry is useful, if any.

    >>> refusal = Refusal(404, "unknown-model", "No model 'x' is configured.")
    >>> refusal.outcome
    <Outcome.NOT_RUN: 'not-run'>
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s
