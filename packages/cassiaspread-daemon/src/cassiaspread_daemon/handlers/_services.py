"""Calls to plain services."""

import asyncio
import time

from cassiaspread_core.admission import has_body
from cassiaspread_core.base import (
    IdempotencyKey,
    Outcome,
    Refusal,
    RequestId,
    ServiceId,
)
from cassiaspread_core.claims import CallResult, InvalidKey, ScopedKey, check_key
from cassiaspread_daemon._exchange import ExchangeBroken, Response
from cassiaspread_daemon.claims import (
    UNKNOWN_HISTORY_DETAIL,
    Call,
    CallAnswer,
    connect,
    target_lost_refusal,
    to_result,
)
from cassiaspread_daemon.handlers._base import MILLISECONDS_PER_SECOND, CallerHandler

FORWARDED_HEADERS = ("Accept", "Content-Type")
FIRST_CALL_HEADER = "Idempotency-First-Call"
REPLAYED_HEADER = "Idempotency-Replayed"
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
BODY_OMITTED_HEADER = "Idempotency-Body-Omitted"


class ServiceHandler(CallerHandler):
    """``/v1/services/{service}/{path}``, any method."""

    kind = "service"
    is_key_judged = False
    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "PUT",
        "PATCH",
        "DELETE",
        "OPTIONS",
    )

    def identify(self) -> RequestId:
        """Return the key itself, under which the time line records its claims."""
        try:
            return RequestId(check_key(self.request.headers["Idempotency-Key"]))
        except (KeyError, InvalidKey):
            return super().identify()

    async def answer(self, service: str, path: str | None) -> None:
        """Forward the call.

        :param service: name of the service.
        :param path: path at the service.
        """
        service_id = ServiceId(service)
        policy = self.node.policy.services.get(service_id)
        if policy is None:
            raise Refusal(
                404, "unknown-service", f"No service {service!r} is configured."
            )
        self.limits = self.find_limits(service=service_id)
        query = f"?{self.request.query}" if self.request.query else ""
        target_path = (path or "/") + query
        self.watch = self.node.quarantine.watch_call(
            self.organisation,
            service_id,
            self.request.method or "GET",
            target_path,
            self.body,
        )
        self.watch.check_not_quarantined()
        if self.request.method in policy.idempotent_methods:
            await self._forward(service_id, target_path)
        else:
            await self._run_once(service_id, target_path)

    get = head = post = put = patch = delete = options = CallerHandler.handle

    def write_refusal(self, refusal: Refusal) -> None:
        """Answer with problem details that apply to the key, not only to this call.

        Until the key has been checked, earlier calls with it may have run, so that
        the outcome is unknown.

        :param refusal: reason for the refusal.
        """
        if refusal.outcome is Outcome.NOT_RUN and self._may_have_run_before():
            refusal.outcome = Outcome.UNKNOWN
            refusal.detail += f" {UNKNOWN_HISTORY_DETAIL}"
        super().write_refusal(refusal)

    def _may_have_run_before(self) -> bool:
        return (
            not self.is_key_judged
            and self.request.method not in SAFE_METHODS
            and "Idempotency-Key" in self.request.headers
            and not self._is_first_call()
        )

    def _is_first_call(self) -> bool:
        return self.request.headers.get(FIRST_CALL_HEADER, "") == "?1"

    async def _run_once(self, service: ServiceId, path: str) -> None:
        self.is_key_judged = True
        key = self._check_key()
        call = Call(
            organisation=self.organisation,
            service=service,
            method=self.request.method or "POST",
            path=path,
            headers={**self._forwarded_headers(), "Idempotency-Key": key},
            body=self.body,
            key=ScopedKey(self.organisation, key),
            is_first=self._is_first_call(),
        )
        answer = await self.node.claims.run(
            call, self.limits, self.deadline_s, lambda: self.is_counted
        )
        self.watch.clear()
        self._write_answer(answer)

    def _check_key(self) -> IdempotencyKey:
        text = self.idempotency_key()
        if text is None:
            raise Refusal(
                400,
                "missing-idempotency-key",
                f"{self.request.method} calls need an Idempotency-Key.",
            )
        try:
            return check_key(text)
        except InvalidKey as error:
            raise Refusal(400, "bad-idempotency-key", f"{error}.") from None

    def _forwarded_headers(self) -> dict[str, str]:
        return {
            name: self.request.headers[name]
            for name in FORWARDED_HEADERS
            if name in self.request.headers
        }

    def _write_answer(self, answer: CallAnswer) -> None:
        if answer.claim is not None:
            self.set_header("Cassiaspread-Claim", str(answer.claim))
        if answer.is_replayed:
            self.set_header(REPLAYED_HEADER, "true")
        if answer.result.body is None:
            self.set_header(BODY_OMITTED_HEADER, "true")
        self._write_result(answer.result)

    def _write_result(self, result: CallResult) -> None:
        assert result.status is not None
        self.set_status(result.status)
        if result.content_type:
            self.set_header("Content-Type", result.content_type)
        if has_body(self.request.method or "GET", result.status):
            self.finish(result.body or b"")
            return
        if not result.content_type:
            self.clear_header("Content-Type")
        for name, value in result.headers:
            self.add_header(name, value)
        # Otherwise Tornado would change the head: remove the type beside 204 and 304,
        # and add the length and tag of an empty body to the answer to HEAD.
        self.flush()
        self.finish()

    async def _forward(self, service: ServiceId, path: str) -> None:
        headers = self._forwarded_headers()
        key = self.idempotency_key()
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            response = await self._exchange(service, path, headers)
        except ExchangeBroken as error:
            raise target_lost_refusal(str(error)) from None
        except TimeoutError:
            detail = "The call was sent and no answer came before the deadline."
            raise Refusal(504, "target-silent", detail, Outcome.UNKNOWN) from None
        self.watch.clear()
        self._write_result(to_result(self.request.method or "GET", response))

    async def _exchange(self, service: ServiceId, path: str, headers: dict) -> Response:
        exchange = await connect(
            service,
            self.node.targets,
            self.node.random_state,
            self.limits.connect_timeout_ms / MILLISECONDS_PER_SECOND,
            self.deadline_s,
        )
        with exchange:
            try:
                async with asyncio.timeout(self.deadline_s - time.monotonic()):
                    await exchange.send(
                        self.request.method or "GET", path, self.body, headers
                    )
                    return await exchange.finish()
            except ExchangeBroken as error:
                self.node.events.record(
                    "services.answer_lost",
                    self.request_id,
                    target=exchange.address,
                    error=str(error),
                )
                await self.watch.probe_service_failure(exchange.address)
                raise
