"""Root of the exception tree, refusals and collected findings."""

from typing import NamedTuple

from cassiaspread_core.base._states import Outcome


class CassiaspreadError(Exception):
    """Root of every exception that the project raises on purpose."""


class Finding(NamedTuple):
    """One fault found in an input.

    :param place: where it was found: a file and key path, a flag or a variable.
    :param message: what is wrong and what is expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(CassiaspreadError):
    """All faults found in one input, reported together.

    :param findings: the faults, at least one.

    >>> print(FindingsError([Finding("--listen", "expected HOST:PORT")]))
    --listen: expected HOST:PORT
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class Refusal(CassiaspreadError):
    """A request that is not answered in full, with what is known about it.

    :param status: HTTP status code.
    :param code: stable short name of the reason, such as ``unknown-model``.
    :param detail: one sentence for the caller.
    :param outcome: whether the request is known not to have run.
    :param retry_after_s: seconds after which a retry makes sense, if any.

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
