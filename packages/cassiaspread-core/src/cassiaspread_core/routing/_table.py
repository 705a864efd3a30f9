"""Routes, organisations and services of one version of the configuration."""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from cassiaspread_core.base import Finding, OrganisationId, ServiceId
from cassiaspread_core.placement import ModelSpec


class RequestKind(Enum):
    """Kind of a request, which decides whether it may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that receives requests of a route.

    :param service: name of the service.
    :param weight: share of the route's requests, relative to the other backends.
    """

    service: ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Handling of the requests to one host and path prefix.

    :param name: name of the route.
    :param host: value of the ``Host`` header.
    :param prefix: prefix of the path, with a slash at both ends.
    :param kind: kind of the requests, which decides whether they may be sent again.
    :param backends: services that run the requests, at least one.
    :param timeout_s: maximum time until a request is answered, in seconds.
    :param objective_s: latency objective in seconds; for a stream, of its first event.
    :param max_event_gap_s: objective for the longest pause between events of a stream,
        in seconds.
    :param max_attempts: maximum number of targets that a request is sent to.
    :param priority: rank; 0 is served first.
    :param is_anonymous: whether requests are accepted without a key.
    :param is_resumable: whether a stream may be resumed at another target; it has no
        meaning for requests of another kind.
    :param is_usable: whether its configuration could be decoded; requests are refused
        otherwise, since a shorter prefix must not take them.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    max_event_gap_s: float = 0.25
    max_attempts: int = 1
    priority: int = 5
    is_anonymous: bool = False
    is_resumable: bool = False
    is_usable: bool = True

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent to a target again.

        Only a stream can be resumed, so ``is_resumable`` counts for no other kind.
        """
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


class Organisation(msgspec.Struct, frozen=True):
    """Owner of a key.

    :param name: name of the organisation.
    :param priority: rank that overrides the route's; 0 is served first. ``None`` keeps
        the route's.
    :param is_usable: whether its configuration could be decoded.
    """

    name: OrganisationId
    priority: int | None = None
    is_usable: bool = True


class Service(msgspec.Struct, frozen=True):
    """A group of targets that serve the same requests.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param model: the model, if the targets are engines that hold layers.
    :param is_usable: whether its configuration could be decoded.
    """

    name: ServiceId
    health_path: str = ""
    model: ModelSpec | None = None
    is_usable: bool = True


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of a caller's requests.

    :param max_header_bytes: maximum size of the header block.
    :param max_body_bytes: maximum size of the body.
    :param header_timeout_s: maximum time to receive the header block, in seconds.
    :param idle_timeout_s: maximum time between requests, in seconds.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _HostRoutes:
    """Routes of one host, indexed by their prefixes."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        # Distinct lengths of the prefixes, which are few, longest first.
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route unless there is one with its prefix."""
        self._by_prefix.setdefault(route.prefix, route)
        if len(route.prefix) not in self._lengths:
            self._lengths.append(len(route.prefix))
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or ``None``."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            # The whole of a shorter path may match, and no longer prefix does then.
            if route is not None:
                return route
        return None


class RouteTable:
    """One version of the configuration, indexed for look-ups.

    :param version: version of the configuration.
    :param routes: all routes.
    :param services: all services.
    :param organisations: organisation of each key; ``None`` if requests carry no keys.
    :param limits: limits on the requests of callers.
    :param document: what the configuration was decoded from.
    :param findings: what of it cannot be used; the rest holds.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        organisations: Mapping[str, Organisation] | None,
        limits: ClientLimits,
        document: bytes = b"",
        findings: Sequence[Finding] = (),
    ) -> None:
        self.version = version
        self.document = document
        self.findings = tuple(findings)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._organisations = organisations
        self._routes = tuple(routes)
        self._by_host: dict[str, _HostRoutes] = {}
        for route in routes:
            host = route.host.lower()
            if host not in self._by_host:
                self._by_host[host] = _HostRoutes()
            self._by_host[host].add(route)

    @property
    def requires_keys(self) -> bool:
        """Whether requests carry keys."""
        return self._organisations is not None

    @property
    def n_routes(self) -> int:
        """Number of routes."""
        return len(self._routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: path without the query string.
        """
        host = host.lower()
        routes = self._by_host.get(host)
        if routes is None:
            routes = self._by_host.get(host.rpartition(":")[0])
        return None if routes is None else routes.find(path)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that owns a key, or ``None``.

        :param key: the caller's key.
        """
        return (self._organisations or {}).get(key)

    def routed_services(self) -> set[ServiceId]:
        """Return the names of the services that receive requests of a route."""
        return {backend.service for r in self._routes for backend in r.backends}
