"""Tickets for callers and lookup of keys for operators."""

import msgspec

from cassiaspread_core.base import OrganisationId, Refusal
from cassiaspread_core.claims import InvalidKey, ScopedKey, check_key
from cassiaspread_daemon.handlers._base import CallerHandler, OperatorHandler


class TicketAnswer(msgspec.Struct, frozen=True):
    """Body of the response with a new ticket.

    :param key: value for the header ``Idempotency-Key``.
    :param lifetime_s: time for which the key is accepted, in seconds.
    """

    key: str
    lifetime_s: int


class TicketsHandler(CallerHandler):
    """``POST /v1/tickets``: a key that can run even while the log is unavailable."""

    kind = "ticket"
    post = CallerHandler.handle

    async def answer(self) -> None:
        """Answer with a new ticket."""
        key = self.node.claims.create_ticket(self.organisation)
        answer = TicketAnswer(key.key, self.limits.dedupe_window_s)
        self.set_status(201)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(answer))


class KeyHandler(OperatorHandler):
    """``GET /operators/keys/{organisation}/{key}``: state of a key."""

    async def get(self, organisation: str, key: str) -> None:
        """Answer with the state of the key at this daemon and in the log.

        :param organisation: organisation that owns the key.
        :param key: the key.
        """
        try:
            scoped = ScopedKey(OrganisationId(organisation), check_key(key))
        except InvalidKey as error:
            raise Refusal(400, "bad-idempotency-key", f"{error}.") from None
        report = await self.node.claims.report(scoped)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))
