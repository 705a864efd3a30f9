"""Base classes of the handlers: authentication, limits, deadlines and refusals."""

import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
import uuid6
import xxhash
from absl import logging
from tornado.web import RequestHandler, stream_request_body

from cassiaspread_core.base import (
    ModelId,
    OrganisationId,
    Outcome,
    Refusal,
    RequestId,
    ServiceId,
    parse_count,
)
from cassiaspread_core.policy import Limits
from cassiaspread_daemon._body_reader import BodyReader
from cassiaspread_daemon._caller_connections import CallerConnection
from cassiaspread_daemon._node import Node
from cassiaspread_daemon._problem import PROBLEM_CONTENT_TYPE, to_problem

MAX_HEADER_BYTES = 32_768
MAX_KEY_LENGTH = 128
# Body of a request that is not a caller's.
MAX_OTHER_BODY_BYTES = 1_048_576
# A body that is refused by its head is read to its end, before the answer, if its
# announced length is not above this.
MAX_DISCARDED_BYTES = 65_536
MILLISECONDS_PER_SECOND = 1000


@stream_request_body
class BaseHandler(RequestHandler):
    """Base of all handlers: reads bodies, answers failures with problem details."""

    organisation: OrganisationId | None = None

    def initialize(self, node: Node) -> None:
        """Store the daemon.

        :param node: daemon that serves the request.
        """
        self.node = node
        self.received_s = time.monotonic()
        # The complete body, while the request is handled.
        self.body = b""
        self._body_reader: BodyReader | None = None
        self._is_running = False
        self._refusal: Refusal | None = None
        # Whether the refusal is sent although the body goes on.
        self._is_refused_early = False

    @property
    def max_body_bytes(self) -> int:
        """Limit on the body, in bytes; known once the head was checked."""
        return MAX_OTHER_BODY_BYTES

    def check_head(self) -> None:
        """Check the request before its body is read.

        :raises Refusal: the request is refused.
        """

    async def prepare(self) -> None:
        """Check the head and wait until the body may be read."""
        method = (self.request.method or "").lower()
        # Tornado calls it once the body was received to its end.
        setattr(self, method, partial(self._run, method, getattr(self, method)))
        n_announced = self._count_announced()
        try:
            self.check_head()
        except Refusal as refusal:
            self._refusal = refusal
            if n_announced is None or n_announced > MAX_DISCARDED_BYTES:
                self.refuse_early(refusal)
            return
        self._body_reader = BodyReader(
            self.node.request_memory,
            n_announced,
            self.max_body_bytes,
            self._refuse_body,
        )
        self._connection.hold(self._body_reader.held)
        may_read = self._body_reader.begin()
        if may_read is not None:
            await may_read
        if self._refusal is None:
            self._connection.begin_body(n_announced)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Add a chunk of the body.

        :param chunk: the chunk.
        :returns: what to wait for before more is read, if anything.
        """
        if self._refusal is None and self._body_reader is not None:
            return self._body_reader.receive(chunk)
        self._connection.drop(len(chunk))
        return None

    def on_connection_close(self) -> None:
        """Give the memory of a body back that was not received to its end."""
        if self._body_reader is not None and not self._is_running:
            self._body_reader.close()

    async def hold(self, n_bytes: int) -> None:
        """Hold more memory than the body was granted, or less.

        :param n_bytes: bytes that the request holds from now on.
        :raises Refusal: they are not free.
        """
        assert self._body_reader is not None
        await self._body_reader.hold(n_bytes)

    def refuse_early(self, refusal: Refusal) -> None:
        """Answer now; the rest of the body is read and dropped, within bounds.

        :param refusal: reason for the refusal.
        """
        self._is_refused_early = True
        # A caller that asks whether to send the body is not told to go on.
        self.request.headers.pop("Expect", None)
        self._connection.refuse(time.monotonic())
        self.write_refusal(refusal)

    def write_refusal(self, refusal: Refusal) -> None:
        """Answer with problem details.

        :param refusal: reason for the refusal.
        """
        self.set_status(refusal.status)
        self.set_header("Content-Type", PROBLEM_CONTENT_TYPE)
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        body = msgspec.json.encode(to_problem(refusal))
        if not self._is_refused_early:
            self.finish(body)
            return
        # The answer ends once the body does, or goes on for too long: closing a
        # connection with an unread body resets it, and the answer may be lost.
        self.set_header("Connection", "close")
        self.set_header("Content-Length", len(body))
        self.write(body)
        self.flush()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an exception raised by a handler.

        :param status_code: status proposed by Tornado.
        """
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refusal):
            self.write_refusal(error)
        elif status_code == 405:
            self.write_refusal(
                Refusal(405, "method-not-allowed", "The path has no such method.")
            )
        else:
            self.write_refusal(
                Refusal(
                    status_code,
                    "internal-error" if status_code >= 500 else "bad-request",
                    "The request could not be handled.",
                    Outcome.UNKNOWN if status_code >= 500 else Outcome.NOT_RUN,
                )
            )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log exceptions other than refusals.

        :param typ: class of the exception.
        :param value: the exception.
        :param tb: its traceback.
        """
        if not isinstance(value, Refusal):
            logging.error("request failed", exc_info=(typ, value, tb))

    def bearer_token(self) -> str:
        """Return the bearer token of the request.

        :raises Refusal: the request has none.
        """
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise Refusal(401, "missing-token", "Send 'Authorization: Bearer <token>'.")
        return token.strip()

    @property
    def _connection(self) -> CallerConnection:
        return self.node.callers.find(self.request.connection.stream)

    async def _run(
        self, name: str, method: Callable[..., Any], *arguments: str | None
    ) -> None:
        """Run the method of a request that was received to its end."""
        delattr(self, name)
        if self._is_refused_early:
            self.finish()
            return
        if self._refusal is not None:
            raise self._refusal
        assert self._body_reader is not None
        self._is_running = True
        self.body = self._body_reader.complete()
        try:
            running = method(*arguments)
            if running is not None:
                await running
        finally:
            self.body = b""
            self._body_reader.close()

    def _count_announced(self) -> int | None:
        """Return the announced length of the body, ``None`` if it is not known."""
        if "Transfer-Encoding" in self.request.headers:
            return None
        # Tornado answers a malformed length.
        return parse_count(self.request.headers.get("Content-Length", "0"))

    def _refuse_body(self, refusal: Refusal) -> None:
        assert self._body_reader is not None
        logging.log_every_n_seconds(
            logging.WARNING,
            "request of %s, organisation %s, refused with %s at %d bytes of its body: "
            "requests hold %d of %d bytes, %d wait",
            1,
            self.request.remote_ip,
            self.organisation,
            refusal.code,
            self._body_reader.n_received,
            self.node.request_memory.n_bytes,
            self.node.request_memory.bounds.max_bytes,
            self.node.request_memory.n_waiting,
        )
        self._refusal = refusal
        self.refuse_early(refusal)


class UnknownPathHandler(BaseHandler):
    """Refuses requests for unknown paths."""

    def check_head(self) -> None:
        """Refuse the request.

        :raises Refusal: always.
        """
        raise Refusal(404, "unknown-path", "There is nothing at this path.")


class OperatorHandler(BaseHandler):
    """Base of the handlers for operators, who have separate tokens."""

    def check_head(self) -> None:
        """Check that the token belongs to an operator.

        :raises Refusal: it does not.
        """
        if not self.node.policy.is_operator(self.bearer_token()):
            raise Refusal(403, "not-an-operator", "The token is no operator's.")


class CallerHandler(BaseHandler):
    """Base of the handlers for callers: checks token, deadline and body size."""

    kind = "request"
    request_id = RequestId("")
    # Kind by which the duration of its run is estimated, once it is handled.
    run_kind = ""

    @property
    def max_body_bytes(self) -> int:
        """Limit on the body, in bytes; known once the head was checked."""
        return self.limits.max_body_bytes

    def set_default_headers(self) -> None:
        """Send the request identity, by which the time line can be queried."""
        if self.request_id:
            self.set_header("X-Request-Id", self.request_id)

    async def prepare(self) -> None:
        """Count the request, check its head and wait until the body may be read."""
        self.node.begin_request()
        self.is_counted = True
        await super().prepare()

    async def handle(self, *arguments: str | None) -> None:
        """Answer a request of any method.

        :param arguments: parts of the path.
        :raises Refusal: the request is refused.
        """
        # The first argument is the service of a call.
        self.run_kind = "/".join([self.kind, *filter(None, arguments[:1])])
        self.node.check_end(self.run_kind, time.monotonic())
        await self.answer(*arguments)

    async def answer(self, *arguments: Any) -> None:
        """Answer a request whose headers and body size were accepted.

        :param arguments: parts of the path.
        """
        raise NotImplementedError

    def find_limits(
        self, model: ModelId | None = None, service: ServiceId | None = None
    ) -> Limits:
        """Return the limits in force for this request.

        :param model: requested model, if known.
        :param service: requested service, if known.
        """
        return self.node.policy.limits_for(
            self.organisation, model, service, now_s=time.time()
        )

    def on_finish(self) -> None:
        """Count the answered request."""
        self._end_request()
        if not self._is_refused_early:
            self.node.metrics.count_request(self.kind, self.get_status())
        if self.run_kind and self.get_status() < 400:
            self.node.record_run(self.run_kind, time.monotonic() - self.received_s)

    def refuse_early(self, refusal: Refusal) -> None:
        """Answer before the end of the body, and count the answer.

        :param refusal: reason for the refusal.
        """
        super().refuse_early(refusal)
        self.node.metrics.count_request(self.kind, refusal.status)

    def on_connection_close(self) -> None:
        """Count the request as ended: the caller closed the connection."""
        super().on_connection_close()
        self._end_request()

    @property
    def deadline_s(self) -> float:
        """Deadline of the request on the monotonic clock, in seconds."""
        return self.received_s + self.timeout_s

    def write_refusal(self, refusal: Refusal) -> None:
        """Answer with problem details; a resumed stream has already run in part.

        :param refusal: reason for the refusal.
        """
        if self.request.headers.get("Last-Event-ID", "").isdigit():
            refusal.outcome = Outcome.UNKNOWN
        super().write_refusal(refusal)

    def idempotency_key(self) -> str | None:
        """Return the idempotency key of the request, if any.

        :raises Refusal: the key is malformed.
        """
        key = self.request.headers.get("Idempotency-Key")
        if key is None:
            return None
        if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isascii() or " " in key:
            raise Refusal(
                400,
                "bad-idempotency-key",
                f"Expected 1 to {MAX_KEY_LENGTH} ASCII characters without spaces.",
            )
        return key

    def _end_request(self) -> None:
        if getattr(self, "is_counted", False):
            self.is_counted = False
            self.node.end_request()

    def check_head(self) -> None:
        """Check size, token and deadline.

        :raises Refusal: one of them is not accepted.
        """
        n_bytes = sum(
            len(name) + len(value) for name, value in self.request.headers.get_all()
        )
        if n_bytes > MAX_HEADER_BYTES:
            raise Refusal(
                431,
                "headers-too-large",
                f"At most {MAX_HEADER_BYTES} bytes of headers.",
            )
        self.organisation = self._check_organisation()
        self.request_id = self.identify()
        self.set_default_headers()
        self.limits = self.find_limits()
        self.timeout_s = self._check_timeout()

    def identify(self) -> RequestId:
        """Return the request identity, equal at all daemons for the same key."""
        key = self.request.headers.get("Idempotency-Key")
        if key is None:
            return RequestId(str(uuid6.uuid7()))
        scoped = f"{self.organisation}\n{key}".encode()
        return RequestId(xxhash.xxh3_128_hexdigest(scoped))

    def _check_organisation(self) -> OrganisationId:
        organisation = self.node.policy.find_organisation(self.bearer_token())
        if organisation is not None:
            return organisation
        reasons = self.node.not_ready_reasons()
        if reasons and not self.node.policy.organisations:
            raise Refusal(503, "not-ready", "; ".join(reasons) + ".", retry_after_s=1.0)
        raise Refusal(401, "unknown-token", "The token is no organisation's.")

    def _check_timeout(self) -> float:
        text = self.request.headers.get("X-Request-Timeout")
        if text is None:
            return self.limits.request_timeout_ms / MILLISECONDS_PER_SECOND
        try:
            timeout_s = float(text)
        except ValueError:
            raise Refusal(
                400, "bad-timeout", "X-Request-Timeout takes a number of seconds."
            ) from None
        if not timeout_s > 0:
            raise Refusal(400, "deadline-passed", "The deadline lies in the past.")
        return min(
            timeout_s, self.limits.max_request_timeout_ms / MILLISECONDS_PER_SECOND
        )
