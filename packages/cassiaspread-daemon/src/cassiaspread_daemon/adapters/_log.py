"""Client of the platform's append-only log service."""

from urllib.parse import quote

import msgspec

from cassiaspread_core.base import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogUnavailable,
    MalformedDocument,
    Offset,
    decode_json,
    decode_read,
)
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken, fetch

CONNECT_TIMEOUT_S = 1.0


class _Appended(msgspec.Struct):
    offset: Offset


class LogClient:
    """Appends records to streams and reads them.

    :param address: ``host:port`` of the log service.
    """

    def __init__(self, address: str) -> None:
        self._address = address

    async def append(self, stream: str, value: bytes, timeout_s: float) -> Offset:
        """Append one record.

        :param stream: name of the stream.
        :param value: content of the record.
        :param timeout_s: longest wait in seconds.
        :returns: the record's offset.
        :raises AppendNotSent: the record was not appended.
        :raises AppendAmbiguous: the record may have been appended, or may be later.
        """
        path = f"/streams/{quote(stream, safe='')}"
        try:
            response = await fetch(
                self._address,
                "POST",
                path,
                body=value,
                connect_timeout_s=min(timeout_s, CONNECT_TIMEOUT_S),
                timeout_s=timeout_s,
            )
        except ConnectFailed as error:
            raise AppendNotSent(str(error)) from None
        except ExchangeBroken as error:
            raise AppendAmbiguous(str(error)) from None
        if response.status == 503:
            raise AppendNotSent("the log refused the append")
        if response.status != 200:
            raise AppendAmbiguous(f"the log answered {response.status}")
        try:
            return decode_json(response.body, _Appended).offset
        except MalformedDocument as error:
            raise AppendAmbiguous(f"malformed answer of the log: {error}") from None

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        n_records: int = 500,
        wait_s: float = 0.0,
        timeout_s: float = 2.0,
    ) -> LogPage:
        """Read records.

        :param stream: name of the stream.
        :param start: offset of the first record to return.
        :param n_records: maximum number of records.
        :param wait_s: how long the log may wait for a new record, in seconds.
        :param timeout_s: timeout in addition to ``wait_s``, in seconds.
        :raises Truncated: ``start`` is before the earliest retained record.
        :raises LogUnavailable: the log returned no valid page.
        """
        path = (
            f"/streams/{quote(stream, safe='')}?start={start}"
            f"&n_records={n_records}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await fetch(
                self._address,
                "GET",
                path,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                timeout_s=wait_s + timeout_s,
            )
            return decode_read(response.status, response.body, start)
        except (
            ConnectFailed,
            ExchangeBroken,
            LogUnavailable,
            MalformedDocument,
        ) as error:
            raise LogUnavailable(f"{stream}: {error}") from None
