"""Last contact with each address, and the daemon found there."""

from cassiaspread_core.base import DomainId
from cassiaspread_daemon.mesh._message import Sender, ShortId, short_id

# Peers exchange gossip about once a second. The side that sent the last request sends
# the next one after REQUESTER_INTERVAL_S; the other side takes over only after
# RESPONDER_INTERVAL_S. Other messages carry no gossip and don't put it off.
REQUESTER_INTERVAL_S = 0.9
RESPONDER_INTERVAL_S = 1.4

# Each side sends a request at least this often, to check that it can reach the other.
PROBE_INTERVAL_S = 2.5

# Time between two attempts to reach an address that does not answer.
RETRY_INTERVAL_S = 1.9

RECENT_ANSWER_S = 5.0
MAX_CROSS_DOMAIN_AGE_S = 3.0

NEVER_S = float("-inf")


class _Contact:
    def __init__(self) -> None:
        self.sender: Sender | None = None
        self.sender_id = ShortId(0)
        self.acknowledged_id = ShortId(0)
        self.exchanged_s = NEVER_S
        self.answered_s = NEVER_S
        self.gossiped_s = NEVER_S
        self.was_requester = False
        self.failed_s = NEVER_S
        self.is_failing = False


class Contacts:
    """Record of the last contact with each address."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def sender(self, address: str) -> Sender | None:
        """Return the sender last seen at an address, if any.

        :param address: ``host:port``.
        """
        contact = self._contacts.get(address)
        return None if contact is None else contact.sender

    def sender_id(self, address: str) -> ShortId:
        """Return the short identifier of the sender last seen at an address, or 0.

        :param address: ``host:port``.
        """
        contact = self._contacts.get(address)
        return ShortId(0) if contact is None else contact.sender_id

    def accepts_short_id(self, address: str, own: ShortId) -> bool:
        """Return whether the daemon at an address has this daemon's short identifier.

        It has received the full sender record once it has answered a request.

        :param address: ``host:port``.
        :param own: short identifier of this daemon.
        """
        contact = self._contacts.get(address)
        return contact is not None and contact.acknowledged_id == own

    def domain(self, address: str) -> DomainId | None:
        """Return the failure domain of the sender last seen at an address, if any.

        :param address: ``host:port``.
        """
        sender = self.sender(address)
        return None if sender is None else sender.domain

    def record_answer(
        self,
        address: str,
        sender: Sender,
        own: ShortId,
        now_s: float,
        is_gossip: bool,
    ) -> None:
        """Record an answer.

        :param address: address to which the request was sent.
        :param sender: sender of the answer.
        :param own: short identifier of this daemon.
        :param now_s: current time, in seconds.
        :param is_gossip: whether the messages were gossip.
        """
        contact = self._contact(address)
        self._record(contact, sender, now_s)
        if is_gossip:
            contact.gossiped_s, contact.was_requester = now_s, True
        contact.acknowledged_id = own
        contact.answered_s = now_s
        contact.is_failing = False

    def record_request(self, sender: Sender, now_s: float, is_gossip: bool) -> None:
        """Record a request.

        :param sender: sender of the request.
        :param now_s: current time, in seconds.
        :param is_gossip: whether the messages were gossip.
        """
        contact = self._contact(sender.address)
        self._record(contact, sender, now_s)
        if is_gossip:
            contact.gossiped_s, contact.was_requester = now_s, False

    def record_no_answer(self, address: str, now_s: float) -> None:
        """Record that an address did not answer.

        :param address: ``host:port``.
        :param now_s: current time, in seconds.
        """
        contact = self._contact(address)
        contact.acknowledged_id = ShortId(0)
        contact.is_failing = True
        contact.failed_s = now_s

    def answered_recently(self, address: str, now_s: float) -> bool:
        """Return whether an address answered within ``RECENT_ANSWER_S``.

        :param address: ``host:port``.
        :param now_s: current time, in seconds.
        """
        return now_s - self._contact(address).answered_s <= RECENT_ANSWER_S

    def is_due(self, address: str, now_s: float, is_urgent: bool) -> bool:
        """Return whether to send gossip to an address in this round.

        :param address: ``host:port``.
        :param now_s: current time, in seconds.
        :param is_urgent: whether there is an update to send without delay.
        """
        contact = self._contact(address)
        if contact.is_failing and not self.answered_recently(address, now_s):
            return now_s - contact.failed_s >= RETRY_INTERVAL_S
        if is_urgent or contact.is_failing:
            return True
        if now_s - contact.answered_s >= PROBE_INTERVAL_S:
            return True
        interval_s = RESPONDER_INTERVAL_S
        if contact.was_requester:
            interval_s = REQUESTER_INTERVAL_S
        return now_s - contact.gossiped_s >= interval_s

    def cross_domain_ages(
        self, domain: DomainId, now_s: float
    ) -> dict[DomainId, float]:
        """Return the time since the last direct contact with other domains, in seconds.

        :param domain: own domain, which is excluded.
        :param now_s: current time, in seconds.
        """
        ages_s: dict[DomainId, float] = {}
        for contact in self._contacts.values():
            if contact.sender is None or contact.sender.domain == domain:
                continue
            age_s = now_s - contact.exchanged_s
            if age_s <= MAX_CROSS_DOMAIN_AGE_S:
                other = contact.sender.domain
                ages_s[other] = min(age_s, ages_s.get(other, age_s))
        return ages_s

    def _record(self, contact: _Contact, sender: Sender, now_s: float) -> None:
        contact.exchanged_s = now_s
        if contact.sender != sender:
            contact.sender = sender
            contact.sender_id = short_id(sender)
            contact.acknowledged_id = ShortId(0)

    def _contact(self, address: str) -> _Contact:
        return self._contacts.setdefault(address, _Contact())
