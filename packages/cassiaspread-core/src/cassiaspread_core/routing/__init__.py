"""Look-up of the route, organisation and services of a request."""

from cassiaspread_core.routing._age import StateAge
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
    "Organisation",
    "RequestKind",
    "Route",
    "RouteTable",
    "Service",
    "StateAge",
]
