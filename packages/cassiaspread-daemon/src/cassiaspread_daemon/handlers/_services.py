"""Calls of plain services."""

import time

from cassiaspread_core.base import Outcome, Refusal, ServiceId

from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken, fetch
from cassiaspread_daemon.adapters import ListedVm
from cassiaspread_daemon.handlers._base import MILLISECONDS_PER_SECOND, CallerHandler

NO_TARGET_RETRY_S = 1.0
FORWARDED_HEADERS = ("Accept", "Content-Type")


class ServiceHandler(CallerHandler):
    """``/v1/services/{service}/{path}``, any method."""

    kind = "service"
    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "PUT",
        "PATCH",
        "DELETE",
        "OPTIONS",
    )

    async def answer(self, service: str, path: str | None) -> None:
        """Forward the call.

        :param service: name of the service.
        :param path: path at the service.
        """
        policy = self.node.policy.services.get(ServiceId(service))
        if policy is None:
            raise Refusal(
                404, "unknown-service", f"No service {service!r} is configured."
            )
        self.limits = self.find_limits(service=ServiceId(service))
        key = self.idempotency_key()
        if self.request.method not in policy.idempotent_methods and key is None:
            raise Refusal(
                400,
                "missing-idempotency-key",
                f"{self.request.method} calls need an Idempotency-Key.",
            )
        await self._forward(ServiceId(service), path or "/", key)

    get = head = post = put = patch = delete = options = CallerHandler.handle

    async def _forward(self, service: ServiceId, path: str, key: str | None) -> None:
        targets = self.node.targets.services(service)
        if not targets:
            raise Refusal(
                503,
                "no-targets",
                f"No target of service {service!r} is known.",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        target = self.node.random_state.choice(targets)
        headers = {
            name: self.request.headers[name]
            for name in FORWARDED_HEADERS
            if name in self.request.headers
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        await self._send(target, path, headers)

    async def _send(self, target: ListedVm, path: str, headers: dict) -> None:
        query = f"?{self.request.query}" if self.request.query else ""
        try:
            response = await fetch(
                target.address,
                self.request.method or "GET",
                path + query,
                body=bytes(self.body),
                headers=headers,
                connect_timeout_s=self.limits.connect_timeout_ms
                / MILLISECONDS_PER_SECOND,
                timeout_s=max(0.0, self.deadline_s - time.monotonic()),
            )
        except ConnectFailed as error:
            raise Refusal(502, "target-unreachable", f"{error}.") from None
        except ExchangeBroken as error:
            raise Refusal(504, "target-silent", f"{error}.", Outcome.UNKNOWN) from None
        self.set_status(response.status)
        for name in ("Content-Type",):
            if name in response.headers:
                self.set_header(name, response.headers[name])
        self.finish(response.body)
