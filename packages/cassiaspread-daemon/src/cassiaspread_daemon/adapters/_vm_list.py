"""Client of the platform's list of live and leaving VMs."""

import re
from collections.abc import Iterator
from typing import Annotated

import msgspec
from absl import logging

from cassiaspread_core.base import (
    CassiaspreadError,
    DomainId,
    MalformedDocument,
    Name,
    VmId,
    VmState,
    decode_json,
    parse_address,
)
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken, fetch

CONNECT_TIMEOUT_S = 1.0
TIMEOUT_S = 2.0
NOT_MODIFIED = 304
# The list is read every second or so; a malformed entry stays in it for longer.
MALFORMED_LOG_INTERVAL_S = 30

# Values of an entry are texts; a decoder is certain to take a document of this depth.
MAX_ROW_DEPTH = 16

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)


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

    vm: Annotated[VmId, msgspec.Meta(min_length=1)]
    role: str
    name: Name
    address: str
    domain: DomainId
    state: VmState


def check_vm(row: bytes) -> ListedVm:
    """Decode and check an entry of the list.

    :param row: the encoded entry.
    :raises MalformedDocument: a field is missing or unusable.
    """
    vm = decode_json(row, ListedVm)
    parse_address(vm.address)
    return vm


class VmListClient:
    """Reads the VM list.

    :param address: ``host:port`` of the platform's list.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._etag = ""

    async def read(self) -> tuple[ListedVm, ...] | None:
        """Read the complete list, which lags behind the actual state of the VMs.

        :returns: the entries without malformed ones, ``None`` if unchanged since the
            last read.
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
            rows = split_rows(response.body)
        except (ConnectFailed, ExchangeBroken, MalformedDocument) as error:
            raise VmListUnavailable(str(error)) from None
        self._etag = response.headers.get("Etag", "")
        return _check_rows(rows)


def split_rows(data: bytes) -> list[bytes]:
    """Return the encoded entries of the list, however deeply one is nested.

    :param data: the encoded list.
    :raises MalformedDocument: it is no list, or broken off.
    """
    try:
        return _decode_rows(data)
    except MalformedDocument:
        # The decoder skips no value that is nested too deeply.
        rows = list(_split_top_level(data))
        flat = [row for row, depth in rows if depth <= MAX_ROW_DEPTH]
        if len(flat) == len(rows) or data.strip()[:1] != b"[":
            raise
    _decode_rows(b"[" + b",".join(flat) + b"]")
    return [row for row, _ in rows]


def _decode_rows(data: bytes) -> list[bytes]:
    return [bytes(row) for row in decode_json(data, tuple[msgspec.Raw, ...])]


def _split_top_level(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield the elements of an array, each with the depth to which it is nested."""
    data = data.strip()[1:-1]
    depth = max_depth = begin = 0
    for token in _TOKEN.finditer(data):
        if token[0] in (b"[", b"{"):
            depth += 1
            max_depth = max(max_depth, depth)
        elif token[0] in (b"]", b"}"):
            depth -= 1
        elif token[0] == b"," and not depth:
            yield data[begin : token.start()], max_depth
            begin, max_depth = token.end(), 0
    if depth:
        raise MalformedDocument(f"a list with {depth:+d} brackets that are not closed")
    yield data[begin:], max_depth


def _check_rows(rows: list[bytes]) -> tuple[ListedVm, ...]:
    listed = []
    for index, row in enumerate(rows):
        try:
            listed.append(check_vm(row))
        except MalformedDocument as error:
            logging.log_every_n_seconds(
                logging.ERROR,
                "skipping malformed entry %d of the %d of the VM list: %s",
                MALFORMED_LOG_INTERVAL_S,
                index,
                len(rows),
                error,
            )
    return tuple(listed)
