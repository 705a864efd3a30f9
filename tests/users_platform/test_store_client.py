"""Answers of the store that cannot be used."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import LogUnavailable, Restored, Truncated
from cassiaspread_daemon.exchange import Response
from cassiaspread_platform._store import (
    PAGE_HEADER,
    RECORD_LENGTH,
    Store,
    pack_position,
)


class FakePool:
    """Gives the same response to every call."""

    def __init__(self, status, body, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.response = Response(status, HTTPHeaders(names), body)

    @asynccontextmanager
    async def single_exchange(self, address, connect_timeout_s):
        yield self

    async def send(self, method, target, data, headers):
        return self.response.status

    async def finish(self):
        return self.response


@pytest.mark.parametrize(
    "body",
    [
        b'{"items":[{"key":"k","value":"abc","offset":1}],"has_more":false,"end_offset":2}',
        b'{"items":[],"has_more":true,"end_offset":2}',
        b"no page",
    ],
)
def test_malformed_snapshot_is_an_outage(body):
    # Guards, too, against an empty page that is taken for the end of the snapshot.
    store = Store("a:1", FakePool(200, body))
    with pytest.raises(LogUnavailable):
        asyncio.run(store.read_newest("keyed.op"))


def test_read_after_the_end_of_a_partition_is_truncated():
    store = Store("a:1", FakePool(410, b"{}"))
    with pytest.raises(Truncated):
        asyncio.run(store.read_keyed("keyed.op", 7, 0.0))


def test_position_of_an_earlier_era_is_not_read_on():
    page = PAGE_HEADER.pack(7, 0)
    store = Store("a:1", FakePool(200, page, Store_Era="3"))
    with pytest.raises(Restored, match="era 3, 2 before"):
        asyncio.run(store.read_keyed("keyed.op", pack_position(2, 7), 0.0))
    page = asyncio.run(store.read_keyed("keyed.op", pack_position(3, 7), 0.0))
    assert page.position == page.end_position == pack_position(3, 7)


def test_era_that_is_no_number_is_an_outage():
    store = Store("a:1", FakePool(200, bytes(16), Store_Era="new"))
    with pytest.raises(LogUnavailable, match="Store-Era"):
        asyncio.run(store.read_keyed("keyed.op", 7, 0.0))


@pytest.mark.parametrize("page", [b"", bytes(15), bytes(16) + b"\x00\x00\x00\x02a"])
def test_page_that_breaks_off_is_an_outage(page):
    store = Store("a:1", FakePool(200, page))
    with pytest.raises(LogUnavailable):
        asyncio.run(store.read_keyed("keyed.op", 7, 0.0))


@pytest.mark.parametrize(
    ("end", "first"), [(9, 8), (8, 0), (7, 0), (0, 0)], ids=lambda offset: str(offset)
)
def test_page_of_another_part_of_the_partition_is_an_outage(end, first):
    record = b"\x01kvalue"
    page = PAGE_HEADER.pack(end, first) + 2 * (RECORD_LENGTH.pack(len(record)) + record)
    store = Store("a:1", FakePool(200, page))
    with pytest.raises(LogUnavailable, match="records 7 to 9"):
        asyncio.run(store.read_keyed("keyed.op", 7, 0.0))


def test_page_that_ends_before_the_partition_says_so():
    # Guards against a page that is cut off and counts as the whole.
    record = b"\x01kvalue"
    page = PAGE_HEADER.pack(9, 7) + RECORD_LENGTH.pack(len(record)) + record
    store = Store("a:1", FakePool(200, page))
    page = asyncio.run(store.read_keyed("keyed.op", 7, 0.0))
    assert (page.position, page.end_position) == (8, 9)


def test_page_up_to_the_end_of_the_partition_is_read():
    record = b"\x01kvalue"
    page = PAGE_HEADER.pack(8, 7) + RECORD_LENGTH.pack(len(record)) + record
    store = Store("a:1", FakePool(200, page))
    page = asyncio.run(store.read_keyed("keyed.op", 7, 0.0))
    assert page.position == page.end_position == 8
