"""Many callers at once that send what they like and stay open; a process of its own.

``python3 -m review.lib3.crowd PORT N_CALLERS KIND SECONDS``, with the kinds of
``KINDS``. No caller comes back after it was refused.
"""

import itertools
import os
import selectors
import socket
import sys
import time

HOST, KEY = "shop.example", "key-of-osorno"
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
CHUNK_BYTES = 65_536
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
LARGE_BYTES = 131_072
LARGE_BODY = bytes(LARGE_BYTES)
# Bytes of a head that may differ from caller to caller.
SPARE_BYTES = 64
# Bytes that a caller sends at a time, and bytes a second of all callers together.
PIECE_BYTES = 65_536
BYTES_PER_S = 15e6
MIN_PAUSE_S = 0.001
POLL_S = 0.05


def head(*lines, method="POST"):
    """Return the head of a proper request."""
    fields = [
        f"{method} /stock/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        "Deadline-Ms: 20000",
        f"Attempt-Id: {os.urandom(8).hex()}",
        *lines,
    ]
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


def chunks_without_end():
    """Return a body of two large chunks that lacks the last byte of the second."""
    missing = len(b"\r\n") + 1
    return [head("Transfer-Encoding: chunked"), CHUNK, CHUNK[:-missing]]


def body_without_end():
    """Return a body of the largest size in pieces that lacks its last byte."""
    last = bytes(PIECE_BYTES)
    pieces = [last] * (MAX_BODY_BYTES // PIECE_BYTES - 1)
    return [head(f"Content-Length: {MAX_BODY_BYTES}"), *pieces, last[1:]]


def ordinary():
    """Return a small request."""
    return [head(method="GET")]


def many_fields():
    """Return a large body that lacks one byte, behind a head of many short fields."""
    last = f"Content-Length: {LARGE_BYTES}"
    room = MAX_HEADER_BYTES - len(head(last)) - SPARE_BYTES
    added = []
    for n in itertools.count():
        line = f"x{n:x}:"
        room -= len(line) + 2
        if room < 0:
            break
        added.append(line)
    return [head(*added, last), LARGE_BODY[1:]]


def one_field():
    """Return the same body behind a head of the same size with one long field."""
    last = f"Content-Length: {LARGE_BYTES}"
    room = MAX_HEADER_BYTES - len(head(last)) - SPARE_BYTES
    return [head("x: " + "a" * (room - 8), last), LARGE_BODY[1:]]


KINDS = {
    "chunks_without_end": chunks_without_end,
    "body_without_end": body_without_end,
    "ordinary": ordinary,
    "many_fields": many_fields,
    "one_field": one_field,
}


def run(port, n_callers, kind, seconds):
    """Send and stay open."""
    selector = selectors.DefaultSelector()
    n_ended = n_bytes = 0
    kept = []
    for _ in range(n_callers):
        caller = socket.socket()
        caller.setblocking(False)
        caller.connect_ex(("127.0.0.1", port))
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        selector.register(caller, events, [iter(KINDS[kind]()), memoryview(b"")])
    begin_s = time.monotonic()
    end_s = begin_s + seconds
    while time.monotonic() < end_s:
        for key, events in selector.select(POLL_S):
            caller, state = key.fileobj, key.data
            try:
                if events & selectors.EVENT_READ and not caller.recv(65_536):
                    raise ConnectionError("closed")
                if not events & selectors.EVENT_WRITE:
                    continue
                if not state[1]:
                    state[1] = memoryview(next(state[0], b""))
                if not state[1]:
                    selector.modify(caller, selectors.EVENT_READ, state)
                    continue
                n_sent = caller.send(state[1][:PIECE_BYTES])
                state[1] = state[1][n_sent:]
                n_bytes += n_sent
                ahead_s = n_bytes / BYTES_PER_S - (time.monotonic() - begin_s)
                if ahead_s > MIN_PAUSE_S:
                    time.sleep(ahead_s)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(caller)
                kept.append(caller)
                n_ended += 1
    print(f"{n_callers} callers, {n_bytes / 1e6:.1f} MB sent, {n_ended} ended")


if __name__ == "__main__":
    run(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], float(sys.argv[4]))
