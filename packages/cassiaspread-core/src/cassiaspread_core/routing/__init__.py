"""Look-up of the route, organisation and services of a request."""

from cassiaspread_core.routing._age import KnowledgeAge
from cassiaspread_core.routing._table import (
    Backend,
    ClientLimits,
    Organisation,
    RequestKind,
    Route,
    RouteTable,
    Service,
)

__all__ = [
    "Backend",
    "ClientLimits",
    "KnowledgeAge",
    "Organisation",
    "RequestKind",
    "Route",
    "RouteTable",
    "Service",
]
