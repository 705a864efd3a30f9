"""Look-up of routes and keys, and the age limit of copies of shared state."""

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cassiaspread_core.routing import (
    Backend,
    ClientLimits,
    Organisation,
    RequestKind,
    Route,
    RouteTable,
    StateAge,
)


def make_route(name, host, prefix, **fields):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        backends=(Backend("pool"),),
        timeout_s=1.0,
        objective_s=0.1,
        **fields,
    )


def make_table(*routes, organisations=None):
    return RouteTable(1, routes, [], organisations, ClientLimits())


def test_longest_prefix_of_the_host_wins():
    table = make_table(
        make_route("short", "x.example", "/a/"),
        make_route("long", "x.example", "/a/b/"),
        make_route("other", "y.example", "/a/b/c/"),
    )
    assert table.find_route("X.example", "/a/b/c/d").name == "long"
    assert table.find_route("x.example:8080", "/a/z").name == "short"
    assert table.find_route("x.example", "/a") is None
    assert table.find_route("z.example", "/a/b/") is None
    assert table.routed_services() == {"pool"}


@pytest.mark.parametrize(
    ("kind", "is_resumable", "may_repeat"),
    [
        (RequestKind.IDEMPOTENT, False, True),
        (RequestKind.IDEMPOTENT, True, True),
        (RequestKind.NON_IDEMPOTENT, False, False),
        (RequestKind.NON_IDEMPOTENT, True, False),
        (RequestKind.STREAM, False, False),
        (RequestKind.STREAM, True, True),
    ],
)
def test_kind_decides_what_may_run_again(kind, is_resumable, may_repeat):
    route = make_route("r", "x.example", "/a/", is_resumable=is_resumable)
    assert msgspec.structs.replace(route, kind=kind).may_repeat is may_repeat


def find_linearly(routes, host, path):
    """Return the route as its definition says, without any index."""
    hosts = {route.host.lower() for route in routes}
    host = host.lower()
    if host not in hosts:
        host = host.rpartition(":")[0]
    found = None
    for route in routes:
        is_match = route.host.lower() == host and path.startswith(route.prefix)
        if is_match and (found is None or len(route.prefix) > len(found.prefix)):
            found = route
    return found


HOSTS = ("x", "X", "x:80", "y", "")
PATHS = st.text("/ab", max_size=8)


@given(
    st.lists(st.tuples(st.sampled_from(HOSTS), PATHS), max_size=12),
    st.sampled_from((*HOSTS, "x:8080", "Y:1", "z")),
    PATHS,
)
@example([("x", "/a/"), ("X", "/a/"), ("x", "/"), ("y", "/a/b/")], "x:1", "/a/b/")
def test_index_of_routes_finds_what_a_scan_of_all_finds(pairs, host, path):
    routes = [make_route(str(n), *pair) for n, pair in enumerate(pairs)]
    table = make_table(*routes)
    assert table.find_route(host, path) is find_linearly(routes, host, path)
    assert table.n_routes == len(routes)


def test_requests_that_may_be_sent_again():
    stream = {"kind": RequestKind.STREAM}
    for fields, may_repeat in [
        ({"kind": RequestKind.NON_IDEMPOTENT}, False),
        (stream, False),
        ({**stream, "is_resumable": True}, True),
    ]:
        route = Route(
            name="r",
            host="h",
            prefix="/",
            backends=(),
            timeout_s=1.0,
            objective_s=1.0,
            **fields,
        )
        assert route.may_repeat is may_repeat
    assert make_route("r", "h", "/").may_repeat


def test_keys_belong_to_organisations():
    table = make_table(organisations={"k": Organisation("celje", 2)})
    assert table.requires_keys
    assert table.find_organisation("k").name == "celje"
    assert table.find_organisation("other") is None
    assert not make_table().requires_keys


def test_age_is_counted_from_the_last_confirmation():
    age = StateAge(bound_s=5.0)
    assert age.age_s(1.0) == float("inf")
    age.confirm(10.0)
    age.confirm(8.0)
    assert age.age_s(12.0) == 2.0
    assert age.is_valid(14.7)
    assert not age.is_valid(14.9)
