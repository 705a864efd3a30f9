"""Base classes of the handlers: authentication, limits, deadlines and refusals."""

import time
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
)
from cassiaspread_core.policy import Limits
from cassiaspread_daemon._node import Node
from cassiaspread_daemon._problem import PROBLEM_CONTENT_TYPE, to_problem

MAX_HEADER_BYTES = 32_768
MAX_KEY_LENGTH = 128
MAX_DISCARDED_BYTES = 16_777_216
MILLISECONDS_PER_SECOND = 1000


class BaseHandler(RequestHandler):
    """Base of all handlers: answers failures with problem details."""

    def initialize(self, node: Node) -> None:
        """Store the daemon.

        :param node: daemon that serves the request.
        """
        self.node = node

    def write_refusal(self, refusal: Refusal) -> None:
        """Answer with problem details.

        :param refusal: reason for the refusal.
        """
        self.set_status(refusal.status)
        self.set_header("Content-Type", PROBLEM_CONTENT_TYPE)
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        self.finish(msgspec.json.encode(to_problem(refusal)))

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


class UnknownPathHandler(BaseHandler):
    """Refuses requests for unknown paths."""

    def prepare(self) -> None:
        """Refuse the request."""
        raise Refusal(404, "unknown-path", "There is nothing at this path.")


class OperatorHandler(BaseHandler):
    """Base of the handlers for operators, who have separate tokens."""

    def prepare(self) -> None:
        """Check that the token belongs to an operator."""
        if not self.node.policy.is_operator(self.bearer_token()):
            raise Refusal(403, "not-an-operator", "The token is no operator's.")


@stream_request_body
class CallerHandler(BaseHandler):
    """Base of the handlers for callers: checks token, deadline and body size."""

    kind = "request"
    request_id = RequestId("")
    # Kind by which the duration of its run is estimated, once it is handled.
    run_kind = ""

    def set_default_headers(self) -> None:
        """Send the request identity, by which the time line can be queried."""
        if self.request_id:
            self.set_header("X-Request-Id", self.request_id)

    def prepare(self) -> None:
        """Check the headers; a refusal is sent after a small body has been read.

        Closing a connection with an unread body resets it, and the caller may not
        receive the response.
        """
        self.body = bytearray()
        self.refusal: Refusal | None = None
        self.received_s = time.monotonic()
        self.node.begin_request()
        self.is_counted = True
        try:
            self._check_headers()
        except Refusal as refusal:
            n_bytes = int(self.request.headers.get("Content-Length") or 0)
            if n_bytes > MAX_DISCARDED_BYTES:
                raise
            self.refusal = refusal

    async def handle(self, *arguments: str | None) -> None:
        """Answer a request of any method.

        :param arguments: parts of the path.
        :raises Refusal: the request is refused.
        """
        if self.refusal is not None:
            raise self.refusal
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

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk of the body.

        :param chunk: the chunk.
        """
        if self.refusal is not None:
            return
        self.body += chunk
        try:
            self._check_body_size(len(self.body))
        except Refusal as refusal:
            self.refusal = refusal

    def on_finish(self) -> None:
        """Count the answered request."""
        self._end_request()
        self.node.metrics.count_request(self.kind, self.get_status())
        if self.run_kind and self.get_status() < 400:
            self.node.record_run(self.run_kind, time.monotonic() - self.received_s)

    def on_connection_close(self) -> None:
        """Count the request as ended: the caller closed the connection."""
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

    def _check_headers(self) -> None:
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
        self._check_body_size(int(self.request.headers.get("Content-Length") or 0))
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

    def _check_body_size(self, n_bytes: int) -> None:
        if n_bytes > self.limits.max_body_bytes:
            raise Refusal(
                413,
                "body-too-large",
                f"At most {self.limits.max_body_bytes} bytes of body.",
            )

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
