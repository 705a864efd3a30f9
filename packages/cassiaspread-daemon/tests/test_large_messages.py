"""Large messages between daemons: they are sent in pieces, few at a time."""

import asyncio
from contextlib import AsyncExitStack

import msgspec
import pytest

from cassiaspread_daemon.mesh import Empty, PeerUnreachable
from cassiaspread_daemon.mesh._pieces import (
    MAX_MESSAGE_BYTES,
    MAX_OPEN_MESSAGES,
    N_LANES,
    PIECE_BYTES,
    Piece,
    PieceReceiver,
    PieceRejected,
    split_message,
)
from tests.fleet import free_port

from .test_mesh import build_mesh

N_PEERS = 6
# Of a configuration with thousands of routes, compressed.
N_BYTES = 60_000


class Large(msgspec.Struct, array_like=True):
    data: bytes


@pytest.mark.parametrize(
    "n_bytes", [1, PIECE_BYTES, PIECE_BYTES + 1, 3 * PIECE_BYTES - 1]
)
def test_pieces_are_joined(n_bytes):
    data = bytes(i % 251 for i in range(n_bytes))
    receiver = PieceReceiver()
    *first, last = [receiver.add("a", piece) for piece in split_message(1, data)]
    assert first == [None] * len(first)
    assert last == data
    assert all(len(p.data) <= PIECE_BYTES for p in split_message(1, data))


def test_messages_of_several_senders_do_not_mix():
    data = {name: name.encode() * 2 * PIECE_BYTES for name in "ab"}
    receiver = PieceReceiver()
    joined = {}
    for pieces in zip(*(split_message(1, data[n]) for n in "ab"), strict=True):
        for name, piece in zip("ab", pieces, strict=True):
            joined[name] = receiver.add(name, piece)
    assert joined == data


@pytest.mark.parametrize(
    "pieces",
    [
        [Piece(1, PIECE_BYTES, 3 * PIECE_BYTES, b"second")],
        [Piece(1, 0, 100, b"first"), Piece(1, 50, 100, b"too late")],
        [Piece(1, 0, 100, b"first"), Piece(2, 5, 100, b"of another")],
        [Piece(1, 0, MAX_MESSAGE_BYTES + 1, b"too large")],
    ],
)
def test_piece_without_those_before_it_is_rejected(pieces):
    receiver = PieceReceiver()
    *first, last = pieces
    for piece in first:
        receiver.add("a", piece)
    with pytest.raises(PieceRejected):
        receiver.add("a", last)


def test_unfinished_messages_of_a_sender_are_bounded():
    receiver = PieceReceiver()
    for number in range(MAX_OPEN_MESSAGES + 1):
        receiver.add("a", Piece(number, 0, 10, b"first"))
    with pytest.raises(PieceRejected):
        receiver.add("a", Piece(0, 5, 10, b"secon"))
    assert receiver.add("a", Piece(1, 5, 10, b"secon")) == b"firstsecon"


def run_meshes(use):
    """Start a daemon and its peers, which record what they receive."""

    async def main():
        sender, _ = build_mesh("sender", 1.0)
        received = {}
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(sender)
            for n in range(N_PEERS):
                peer, _ = build_mesh(f"peer{n}", 1.0)

                async def receive(body, _, address=peer.sender.address):
                    received[address] = body.data
                    return Empty()

                peer.register("large", Large, receive)
                await stack.enter_async_context(peer)
                received[peer.sender.address] = None
            return await use(sender, received)

    return asyncio.run(main())


def test_large_message_reaches_all_peers_with_few_pieces_on_the_way():
    async def use(sender, received):
        exchange = sender._transport.exchange
        on_the_way, peaks = [], []

        async def observe(address, request, timeout_s):
            on_the_way.append(len(request))
            peaks.append(sum(on_the_way))
            try:
                return await exchange(address, request, timeout_s)
            finally:
                on_the_way.remove(len(request))

        sender._transport.exchange = observe
        data = bytes(i % 251 for i in range(N_BYTES))
        asks = [sender.ask(a, "large", Large(data), Empty, 5.0) for a in received]
        await asyncio.gather(*asks)
        assert set(received.values()) == {data}
        # The rest is for envelopes, and gossip that begins meanwhile.
        assert max(peaks) < (N_LANES + 1) * PIECE_BYTES

    run_meshes(use)


def test_small_message_does_not_wait_for_large_ones():
    async def use(sender, received):
        first, *others = received
        large = [
            asyncio.create_task(
                sender.ask(a, "large", Large(bytes(N_BYTES)), Empty, 5.0)
            )
            for a in others
        ]
        await sender.ask(first, "large", Large(b"small"), Empty, 5.0)
        n_done = sum(task.done() for task in large)
        await asyncio.gather(*large)
        assert n_done < len(large)

    run_meshes(use)


def test_large_message_does_not_wait_for_peers_that_do_not_reply():
    async def use(sender, received):
        message = Large(bytes(N_BYTES))
        gone = [
            asyncio.create_task(
                sender.ask(f"127.0.0.1:{free_port()}", "large", message, Empty, 30.0)
            )
            for _ in range(2 * N_LANES)
        ]
        await asyncio.sleep(0.01)
        async with asyncio.timeout(5.0):
            await sender.ask(next(iter(received)), "large", message, Empty, 5.0)
        for task in gone:
            task.cancel()
        await asyncio.wait(gone)

    run_meshes(use)


def test_large_message_reaches_a_daemon_of_a_release_without_pieces():
    async def main():
        sender, _ = build_mesh("sender", 1.0)
        peer, _ = build_mesh("peer", 1.0)
        del peer._handlers["piece"]
        received = []

        async def receive(body, _):
            received.append(body.data)
            return Empty()

        peer.register("large", Large, receive)
        async with sender, peer:
            data = bytes(N_BYTES)
            await sender.ask(peer.sender.address, "large", Large(data), Empty, 5.0)
            assert received == [data]

    asyncio.run(main())


def test_large_message_of_an_unknown_kind_is_reported():
    async def use(sender, received):
        with pytest.raises(PeerUnreachable, match="bad message"):
            await sender.ask(
                next(iter(received)), "unknown", Large(bytes(N_BYTES)), Empty, 5.0
            )

    run_meshes(use)
