"""When each address was last in contact, and who is there."""

from cassiaspread_core.base import DomainId
from cassiaspread_daemon.mesh._message import Sender, ShortId, short_id

# Peers exchange messages once a second: whoever asked last asks again after the
# first time, the other one only after the second.
OWN_TURN_S = 0.9
PEER_TURN_S = 1.4

# Each side asks at least this often, to learn whether it can.
PROBE_INTERVAL_S = 2.5

# Time between two tries of an address that does not answer.
RETRY_INTERVAL_S = 1.9

LATELY_S = 5.0
MAX_FAR_AGE_S = 3.0

NEVER_S = float("-inf")


class _Contact:
    def __init__(self) -> None:
        self.sender: Sender | None = None
        self.sender_id = ShortId(0)
        self.knows = ShortId(0)
        self.exchanged_s = NEVER_S
        self.answered_s = NEVER_S
        self.tried_s = NEVER_S
        self.is_failing = False


class Contacts:
    """Last contact with each address."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def sender(self, address: str) -> Sender | None:
        """Return who was last known at an address, if anyone.

        :param address: ``host:port``.
        """
        contact = self._contacts.get(address)
        return None if contact is None else contact.sender

    def sender_id(self, address: str) -> ShortId:
        """Return the short identifier of who was last known at an address.

        :param address: ``host:port``.
        """
        contact = self._contacts.get(address)
        return ShortId(0) if contact is None else contact.sender_id

    def knows(self, address: str, own: ShortId) -> bool:
        """Tell whether who is at an address has answered this daemon already.

        :param address: ``host:port``.
        :param own: short identifier of this daemon.
        """
        contact = self._contacts.get(address)
        return contact is not None and contact.knows == own

    def domain(self, address: str) -> DomainId | None:
        """Return the failure domain of who was last known at an address.

        :param address: ``host:port``.
        """
        sender = self.sender(address)
        return None if sender is None else sender.domain

    def note_answer(
        self, address: str, sender: Sender, own: ShortId, now_s: float
    ) -> None:
        """Note an answer.

        :param address: address that was asked.
        :param sender: who answered.
        :param own: short identifier of this daemon.
        :param now_s: present time in seconds.
        """
        contact = self._contact(address)
        self._note(contact, sender, now_s)
        contact.knows = own
        contact.answered_s = now_s
        contact.is_failing = False

    def note_request(self, sender: Sender, now_s: float) -> None:
        """Note a request.

        :param sender: who sent it.
        :param now_s: present time in seconds.
        """
        self._note(self._contact(sender.address), sender, now_s)

    def miss(self, address: str, now_s: float) -> None:
        """Note that an address did not answer.

        :param address: ``host:port``.
        :param now_s: present time in seconds.
        """
        contact = self._contact(address)
        contact.knows = ShortId(0)
        contact.is_failing = True
        contact.tried_s = now_s

    def answered_lately(self, address: str, now_s: float) -> bool:
        """Tell whether an address answered not long ago.

        :param address: ``host:port``.
        :param now_s: present time in seconds.
        """
        return now_s - self._contact(address).answered_s <= LATELY_S

    def is_due(self, address: str, now_s: float, is_hurry: bool) -> bool:
        """Tell whether an address is to be asked in this round.

        :param address: ``host:port``.
        :param now_s: present time in seconds.
        :param is_hurry: whether there is news that can't wait.
        """
        contact = self._contact(address)
        if contact.is_failing and not self.answered_lately(address, now_s):
            return now_s - contact.tried_s >= RETRY_INTERVAL_S
        if is_hurry or contact.is_failing:
            return True
        if now_s - contact.answered_s >= PROBE_INTERVAL_S:
            return True
        is_own_turn = contact.answered_s == contact.exchanged_s
        turn_s = OWN_TURN_S if is_own_turn else PEER_TURN_S
        return now_s - contact.exchanged_s >= turn_s

    def far_ages(self, domain: DomainId, now_s: float) -> dict[DomainId, float]:
        """Return how long ago other domains were in direct contact, in seconds.

        :param domain: own domain, which is left out.
        :param now_s: present time in seconds.
        """
        ages: dict[DomainId, float] = {}
        for contact in self._contacts.values():
            if contact.sender is None or contact.sender.domain == domain:
                continue
            age_s = now_s - contact.exchanged_s
            if age_s <= MAX_FAR_AGE_S:
                other = contact.sender.domain
                ages[other] = min(age_s, ages.get(other, age_s))
        return ages

    def _note(self, contact: _Contact, sender: Sender, now_s: float) -> None:
        contact.exchanged_s = now_s
        if contact.sender != sender:
            contact.sender = sender
            contact.sender_id = short_id(sender)
            contact.knows = ShortId(0)

    def _contact(self, address: str) -> _Contact:
        return self._contacts.setdefault(address, _Contact())
