"""Routes, organisations and services of one version of the configuration."""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from cassiaspread_core.base import OrganisationId, ServiceId
from cassiaspread_core.placement import ModelSpec


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that a route sends to.

    :param service: name of the service.
    :param weight: share of the route's requests, relative to the other backends.
    """

    service: ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests to one host and path prefix are treated.

    :param name: name of the route.
    :param host: value of the ``Host`` header.
    :param prefix: beginning of the path, with a slash at both ends.
    :param kind: what may be repeated.
    :param backends: services that run the requests, at least one.
    :param timeout_s: longest time that a caller is kept waiting, in seconds.
    :param objective_s: latency objective in seconds, up to the first event of a stream.
    :param pause_s: longest pause between events of a stream within the objective.
    :param max_attempts: targets that one request may be sent to.
    :param priority: rank, 0 first.
    :param is_anonymous: whether requests carry no key.
    :param is_resumable: whether a stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    pause_s: float = 0.25
    max_attempts: int = 1
    priority: int = 5
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


class Organisation(msgspec.Struct, frozen=True):
    """Who a key belongs to.

    :param name: name of the organisation.
    :param priority: rank that goes before the route's, 0 first, if any.
    """

    name: OrganisationId
    priority: int | None = None


class Service(msgspec.Struct, frozen=True):
    """A group of targets that run the same requests.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param model: the model, if its targets are engines that hold layers.
    """

    name: ServiceId
    health_path: str = ""
    model: ModelSpec | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send and how long it may take.

    :param max_header_bytes: largest header block.
    :param max_body_bytes: largest body.
    :param header_timeout_s: longest time for the header block, in seconds.
    :param idle_timeout_s: longest time between requests, in seconds.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One version of the configuration, indexed for look-ups.

    :param version: its version.
    :param routes: all routes.
    :param services: all services.
    :param organisations: organisation of each key; ``None`` if requests carry no keys.
    :param limits: bounds on what callers send.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        organisations: Mapping[str, Organisation] | None,
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._organisations = organisations
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    @property
    def has_keys(self) -> bool:
        """Whether requests carry keys."""
        return self._organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: path without the query.
        """
        host = host.lower()
        routes = self._by_host.get(host)
        if routes is None:
            routes = self._by_host.get(host.rpartition(":")[0], ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key.

        :param key: the caller's key.
        """
        return (self._organisations or {}).get(key)

    def routed_services(self) -> set[ServiceId]:
        """Return the names of the services that a route sends to."""
        routes = (route for routes in self._by_host.values() for route in routes)
        return {backend.service for route in routes for backend in route.backends}
