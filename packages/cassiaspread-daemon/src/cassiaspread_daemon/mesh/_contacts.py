"""When each address was last in contact."""

from cassiaspread_core.base import DomainId

from cassiaspread_daemon.mesh._message import Sender

# An address is asked if nothing was exchanged for this long,
MIN_EXCHANGE_AGE_S = 0.9
# or if it has not answered for this long, though it asked by itself.
MIN_ANSWER_AGE_S = 1.9
# Time between two tries of an address that does not answer.
RETRY_INTERVAL_S = 1.9
MAX_FAR_AGE_S = 3.0
LATELY_S = 5.0

NEVER_S = float("-inf")


class _Contact:
    def __init__(self) -> None:
        self.sender: Sender | None = None
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

    def domain(self, address: str) -> DomainId | None:
        """Return the failure domain of who was last known at an address.

        :param address: ``host:port``.
        """
        sender = self.sender(address)
        return None if sender is None else sender.domain

    def note(self, sender: Sender, now_s: float, address: str | None) -> None:
        """Note a message.

        :param sender: who sent it.
        :param now_s: present time in seconds.
        :param address: address that was asked, if the message is an answer.
        """
        contact = self._contact(address or sender.address)
        contact.sender = sender
        contact.exchanged_s = now_s
        if address is not None:
            contact.answered_s = now_s
            contact.is_failing = False

    def miss(self, address: str, now_s: float) -> None:
        """Note that an address did not answer.

        :param address: ``host:port``.
        :param now_s: present time in seconds.
        """
        contact = self._contact(address)
        contact.is_failing = True
        contact.tried_s = now_s

    def answered_lately(self, address: str, now_s: float) -> bool:
        """Tell whether an address answered in one of the last rounds.

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
        if is_hurry or now_s - contact.exchanged_s >= MIN_EXCHANGE_AGE_S:
            return True
        return now_s - contact.answered_s >= MIN_ANSWER_AGE_S

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

    def _contact(self, address: str) -> _Contact:
        return self._contacts.setdefault(address, _Contact())
