"""Client of the platform's list of live and leaving VMs."""

import msgspec

from cassiaspread_core.base import CassiaspreadError, DomainId, VmId, VmState
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken, fetch

CONNECT_TIMEOUT_S = 1.0
TIMEOUT_S = 2.0
NOT_MODIFIED = 304


class VmListUnavailable(CassiaspreadError):
    """The list could not be read."""


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of a VM in the list.

    :param vm: identifier of the VM.
    :param role: ``engine``, ``service`` or ``daemon``.
    :param name: target identifier of an engine, service name of a service.
    :param address: ``host:port`` of the engine, service or daemon on it.
    :param domain: failure domain.
    :param state: live or leaving.
    """

    vm: VmId
    role: str
    name: str
    address: str
    domain: DomainId
    state: VmState


class VmListClient:
    """Reads the VM list.

    :param address: ``host:port`` of the platform's list.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._etag = ""

    async def read(self) -> tuple[ListedVm, ...] | None:
        """Read the complete list, which lags behind the actual state of the VMs.

        :returns: the entries, ``None`` if unchanged since the last read.
        :raises VmListUnavailable: the list could not be read.
        """
        try:
            response = await fetch(
                self._address,
                "GET",
                "/vms",
                headers={"If-None-Match": self._etag} if self._etag else None,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                timeout_s=TIMEOUT_S,
            )
            if response.status == NOT_MODIFIED:
                return None
            if response.status != 200:
                raise VmListUnavailable(f"the VM list answered {response.status}")
            listed = msgspec.json.decode(response.body, type=tuple[ListedVm, ...])
            self._etag = response.headers.get("Etag", "")
            return listed
        except (ConnectFailed, ExchangeBroken, msgspec.MsgspecError) as error:
            raise VmListUnavailable(str(error)) from None
