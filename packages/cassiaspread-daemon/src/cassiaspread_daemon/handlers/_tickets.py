"""Tickets for callers and the look-up of keys for operators."""

import msgspec

from cassiaspread_core.base import OrganisationId, Refusal
from cassiaspread_core.claims import BadKey, ScopedKey, check_key
from cassiaspread_daemon.handlers._base import CallerHandler, OperatorHandler


class TicketAnswer(msgspec.Struct, frozen=True):
    """A ticket as its caller gets it.

    :param key: what goes into ``Idempotency-Key``.
    :param lifetime_s: seconds for which it is accepted.
    """

    key: str
    lifetime_s: int


class TicketsHandler(CallerHandler):
    """``POST /v1/tickets``: a key that runs here, also while the log is away."""

    kind = "ticket"
    post = CallerHandler.handle

    async def answer(self) -> None:
        """Make a ticket."""
        key = self.node.claims.mint_ticket(self.organisation)
        answer = TicketAnswer(key.key, self.limits.dedupe_window_s)
        self.set_status(201)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(answer))


class KeyHandler(OperatorHandler):
    """``GET /operators/keys/{organisation}/{key}``: what became of a key."""

    async def get(self, organisation: str, key: str) -> None:
        """Answer with what this daemon and the log know of the key.

        :param organisation: whose key it is.
        :param key: the key.
        """
        try:
            scoped = ScopedKey(OrganisationId(organisation), check_key(key))
        except BadKey as error:
            raise Refusal(400, "bad-idempotency-key", f"{error}.") from None
        report = await self.node.claims.report(scoped)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))
