"""Failures of an exchange: what is known of the request."""

from cassiaspread_core.base import CassiaspreadError


class ConnectFailed(CassiaspreadError):
    """No connection could be opened: no byte of the request was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the address."""


class ConnectTimedOut(ConnectFailed):
    """The other end did not respond to the attempt to connect."""


class ExchangeBroken(CassiaspreadError):
    """The connection ended or stayed silent after the request may have been sent."""


class ConnectionSpoiled(ExchangeBroken):
    """What a kept connection carried hides the response to the request.

    The request may have run; it is the connection that is of no use, not the target.
    """


class AnswerTooLarge(ExchangeBroken):
    """The response exceeds a bound and was not read to its end."""
