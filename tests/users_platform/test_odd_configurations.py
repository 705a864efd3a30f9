"""Versions of the configuration that hold something odd beside a sound change.

Each version takes a key away and adds a route. What is odd concerns only the requests
that need it; where a whole version cannot be decoded, keys expire.
"""

import json
import time

import pytest

from tests.json_lines import decode_log
from tests.users_platform.deployment import (
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    route,
    wait_for,
)
from tests.users_platform.test_odd_entries import (
    ERROR_EVENTS,
    NESTED_LISTS,
    NESTED_OBJECTS,
)

GATEWAY = "gateway"
# Within these times a version comes into force, and a key that it took away ends.
APPLY_S = 2.0
REVOKE_S = 2.0
OLD_KEY = "key-that-is-taken-away"
ODD_KEY = "key-of-the-odd-tenant"
ODD_PREFIX = "/stock/odd/"
# In a document, it is replaced by bytes that json does not write.
RAW = "RAW-VALUE"
REFUSED, SERVED = 503, 200

ODD_ROUTES = {
    "unknown kind": ({"route_kind": "sometimes"}, REFUSED),
    "kind no text": ({"route_kind": 7}, REFUSED),
    "no kind": ({"route_kind": None}, REFUSED),
    "no service": ({"service": None}, REFUSED),
    "empty service": ({"service": ""}, REFUSED),
    "negative timeout": ({"timeout_ms": -1}, SERVED),
    "timeout in words": ({"timeout_ms": "soon"}, SERVED),
    "timeout NaN": ({"timeout_ms": float("nan")}, SERVED),
    "timeout 1e308": ({"timeout_ms": 1e308}, SERVED),
    "timeout with a fraction": ({"timeout_ms": 4000.5}, SERVED),
    "no attempts": ({"max_attempts": 0}, SERVED),
    "attempts 2.0": ({"max_attempts": 2.0}, SERVED),
    "attempts in words": ({"max_attempts": "two"}, SERVED),
    "negative priority": ({"priority": -1}, SERVED),
    "negative weight": (
        {"backends": [{"service": PLAIN_SERVICE, "weight": -1}]},
        SERVED,
    ),
    "one odd backend of two": (
        {"backends": [{"service": 3}, {"service": PLAIN_SERVICE}]},
        SERVED,
    ),
    "backends no list": ({"service": None, "backends": {}}, REFUSED),
    "prefix no text": ({"path_prefix": 4}, SERVED),
    "host no text": ({"host": []}, SERVED),
    "name no text": ({"name": 1}, REFUSED),
    "new fields": ({"new": {"a": [1]}}, SERVED),
}
# Name of the tenant as an engine gets it, or none if its requests are refused.
ODD_TENANTS = {
    "caron": ({"name": "Žalec"}, "Žalec"),
    "umlaut": ({"name": "Grün"}, "Grün"),
    "other script": ({"name": "Ω-точка"}, "Ω-точка"),
    "line end": ({"name": "a\r\nX-Odd: 1"}, None),
    "NUL": ({"name": "a\0b"}, None),
    "space at its end": ({"name": "a "}, None),
    "no name": ({"name": None}, None),
    "empty name": ({"name": ""}, None),
    "name no text": ({"name": 5}, None),
    "name of 100,000 characters": ({"name": "n" * 100_000}, None),
    "lone surrogate": ({"name": RAW}, None, b'"\\ud800"'),
    "no UTF-8": ({"name": RAW}, None, b'"\xff\xfe"'),
    "negative priority": ({"priority": -1}, "odd"),
    "priority in words": ({"priority": "high"}, "odd"),
    "one odd key of two": ({"api_keys": [5, ODD_KEY]}, "odd"),
    "keys twice": ({"api_keys": [ODD_KEY, ODD_KEY]}, "odd"),
}
# Odd values of the model's service, and whether its streams are served.
ODD_MODELS = {
    "layers to 2^63": ({"layers": 2**63}, REFUSED),
    "layers in words": ({"layers": "all"}, REFUSED),
    "no cache": ({"kv_token_bytes": 0}, REFUSED),
    "no prefill": ({"read_per_s": 0}, REFUSED),
    "slots in words": ({"slots": "four"}, REFUSED),
    "no stride": ({"stride": 0}, SERVED),
    "pace 0": ({"kinds": [{"name": "large", "size_mb": 60_900, "pace": 0}]}, SERVED),
    "usual lengths in words": ({"usual": "short"}, SERVED),
}
# Odd values beside the entries.
ODD_PARTS = {
    "negative header size": {"limits": {"max_header_bytes": -1}},
    "limits no object": {"limits": []},
    "a route no object": {"routes": 3},
    "a tenant no object": {"tenants": "celje"},
    "a service no object": {"services": None},
    "a service without a name": {"services": {"health_path": "/"}},
    "new fields": {"new": {"a": [1]}},
}
# Bytes of whole versions, of a sound one.
UNREADABLE = {
    "no JSON": lambda sound: b"\0" + sound,
    "cut off": lambda sound: sound[:-1],
    "empty": lambda sound: b"",
    "no object": lambda sound: b"1",
    "no fields": lambda sound: b"{}",
    "lists in an unknown field": lambda sound: (
        sound[:-1] + b', "new": ' + NESTED_LISTS + b"}"
    ),
    "objects as the routes": lambda sound: (
        sound[:-1] + b', "routes": ' + NESTED_OBJECTS + b"}"
    ),
    "tenants no list": lambda sound: sound[:-1] + b', "tenants": {}}',
    "version 2^63": lambda sound: sound[:-1] + b', "version": 9223372036854775808}',
    "version in words": lambda sound: sound[:-1] + b', "version": "newest"}',
}


def tenant(name, *keys):
    return {"name": name, "api_keys": list(keys), "priority": 1}


class Versions:
    """Publishes versions to a gateway, each higher than those before."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 3

    def build(self, *, has_old_key):
        """Return the next version as a document, with a route of its own."""
        self.version += 1
        document = configuration(self.version)
        added = route("added", self.added_prefix, "idempotent", PLAIN_SERVICE)
        document["routes"].append(added)
        old_keys = [OLD_KEY] if has_old_key else []
        document["tenants"].append(tenant("velenje-shops", *old_keys))
        return document

    @property
    def added_prefix(self):
        return f"/added-{self.version}/"

    def publish(self, document, raw=b""):
        data = json.dumps(document).encode().replace(f'"{RAW}"'.encode(), raw)
        self.deployment.put_record("keyed.op", "config", data)
        return time.monotonic()

    def publish_sound(self):
        """Publish a sound version and wait until it is in force."""
        self.publish(self.build(has_old_key=True))
        self.wait_in_force()

    def wait_in_force(self):
        wait_for(lambda: self.status(f"{self.added_prefix}1") == SERVED, APPLY_S)

    def send(self, path, key=KEY):
        headers = {"Authorization": f"Bearer {key}"}
        return self.deployment.request(GATEWAY, path, "GET", b"", **headers)

    def status(self, path, key=KEY):
        return self.send(path, key).status


@pytest.fixture(scope="module")
def versions(bare_module_deployment):
    """One gateway, one engine with all layers and one plain one."""
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    deployment.add_engine("plain", PLAIN_SERVICE, "celje")
    deployment.add_engine("head", MODEL_SERVICE, "celje", "large")
    deployment.add_gateway(GATEWAY, "celje", revoke_ms=REVOKE_S * 1000)
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1").status == SERVED)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == SERVED)
    return Versions(deployment)


@pytest.fixture
def sound(versions):
    """A sound version with both keys is in force; the log has no unexpected error."""
    versions.publish_sound()
    log_path = versions.deployment.folder / f"{GATEWAY}.log"
    n_bytes = log_path.stat().st_size
    assert versions.status("/stock/1", OLD_KEY) == SERVED
    yield versions
    rows = decode_log(log_path.read_bytes()[n_bytes:])
    assert [row for row in rows if row["event"] in ERROR_EVENTS] == []
    assert versions.deployment.processes[GATEWAY].poll() is None
    # After what is odd, a sound version is in force in time, for both keys.
    versions.publish_sound()
    assert versions.status("/stock/1", OLD_KEY) == SERVED
    assert versions.deployment.request_stream(GATEWAY, 3).event_ids == [1, 2, 3]


def check_change(versions):
    """Check that the sound part of a version is in force."""
    versions.wait_in_force()
    answer = versions.send("/stock/1", OLD_KEY)
    assert answer.status == 401
    assert versions.status("/stock/1") == SERVED
    assert versions.status("/open/1", "none") == SERVED


def check_refused(versions, answer, path):
    assert answer.status == REFUSED
    assert json.loads(answer.body)["outcome"] == "not-run"
    assert float(answer.headers["Retry-After"]) > 0
    uris = [row["uri"] for row in versions.deployment.history("run")]
    assert path not in uris


@pytest.mark.parametrize("kind", ODD_ROUTES)
def test_an_odd_route_concerns_its_own_requests(sound, kind):
    # Guards against a route that refuses the whole version.
    fields, status = ODD_ROUTES[kind]
    document = sound.build(has_old_key=False)
    odd = route("odd", ODD_PREFIX, "idempotent", PLAIN_SERVICE)
    document["routes"].insert(0, odd | fields)
    sound.publish(document)
    check_change(sound)
    path = f"{ODD_PREFIX}{sound.version}"
    answer = sound.send(path)
    if status == REFUSED:
        # Not even the route with a shorter prefix takes it.
        check_refused(sound, answer, path)
    else:
        assert answer.status == status


@pytest.mark.parametrize("kind", ODD_TENANTS)
def test_an_odd_tenant_concerns_its_own_keys(sound, kind):
    # Guards against a tenant that refuses the whole version, and with it the end of a
    # key that the version took away.
    fields, name, *raw = ODD_TENANTS[kind]
    document = sound.build(has_old_key=False)
    document["tenants"].insert(0, tenant("odd", ODD_KEY) | fields)
    sound.publish(document, *raw)
    check_change(sound)
    path = f"/stock/tenant-{sound.version}"
    answer = sound.send(path, ODD_KEY)
    if name is None:
        check_refused(sound, answer, path)
        return
    assert answer.status == SERVED
    (run,) = [r for r in sound.deployment.history("run") if r["uri"] == path]
    # The stand-in reads headers as Latin-1.
    assert run["headers"]["Tenant"].encode("latin-1").decode() == name


@pytest.mark.parametrize("kind", ODD_MODELS)
def test_an_odd_model_concerns_its_own_service(sound, kind):
    # Guards against a model that refuses the whole version, or whose engines get
    # requests without a chain.
    fields, status = ODD_MODELS[kind]
    document = sound.build(has_old_key=False)
    document["services"][0]["engine"] |= fields
    sound.publish(document)
    check_change(sound)
    n_runs = len(sound.deployment.history("run"))
    answer = sound.deployment.request_stream(GATEWAY, 3)
    if status == REFUSED:
        check_refused(sound, answer, "/draft/x?q=1 of this version")
        assert len(sound.deployment.history("run")) == n_runs
    else:
        assert answer.event_ids == [1, 2, 3]


@pytest.mark.parametrize("kind", ODD_PARTS)
def test_an_odd_part_leaves_the_entries_in_force(sound, kind):
    # Guards against one part that refuses the whole version.
    document = sound.build(has_old_key=False)
    for name, value in ODD_PARTS[kind].items():
        if name in ("routes", "services", "tenants"):
            document[name].append(value)
        else:
            document[name] = value
    sound.publish(document)
    check_change(sound)


@pytest.mark.parametrize("kind", UNREADABLE)
def test_keys_expire_behind_a_version_that_cannot_be_decoded(sound, kind):
    # Guards against a copy that counts as current without the newest version.
    data = UNREADABLE[kind](json.dumps(sound.build(has_old_key=False)).encode())
    sound.deployment.put_record("keyed.op", "config", data)
    acknowledged_s = time.monotonic()
    time.sleep(max(0.0, acknowledged_s + REVOKE_S - time.monotonic()))
    # Longer than one long poll of the store, which confirms what it returns.
    for n in range(8):
        path = f"/stock/late-{sound.version}-{n}"
        check_refused(sound, sound.send(path, OLD_KEY), path)
        check_refused(sound, sound.send(path, KEY), path)
        assert sound.status("/open/1", "none") == SERVED
        time.sleep(0.2)


def start_fleet(deployment, launchers):
    """Start gateways that communicate, and wait until they share configurations."""
    versions = Versions(deployment)
    versions.publish(versions.build(has_old_key=True))
    deployment.add_engine("plain", PLAIN_SERVICE, "celje")
    for name, launcher in launchers.items():
        add_peer(deployment, name, launcher)
    for name in launchers:
        wait_for(lambda name=name: deployment.is_ready(name))
        wait_for(lambda name=name: get(deployment, name, OLD_KEY).status == SERVED)
    # Daemons discover each other in the second round of gossip.
    time.sleep(2.0)
    return versions


def add_peer(deployment, name, launcher=("-m", "cassiaspread_platform")):
    deployment.add_gateway(
        name, "celje", has_peers=True, revoke_ms=REVOKE_S * 1000, launcher=launcher
    )


def get(deployment, gateway, key, path="/stock/1"):
    headers = {"Authorization": f"Bearer {key}"}
    return deployment.request(gateway, path, "GET", b"", **headers)


def test_keys_expire_at_all_gateways_and_at_one_that_starts(bare_deployment):
    # Guards against peers that confirm to each other a version that none could decode.
    deployment = bare_deployment
    normal = ("-m", "cassiaspread_platform")
    versions = start_fleet(deployment, dict.fromkeys(("a", "b", "c"), normal))
    versions.build(has_old_key=False)
    deployment.put_record("keyed.op", "config", b"{")
    acknowledged_s = time.monotonic()
    add_peer(deployment, "late")
    time.sleep(max(0.0, acknowledged_s + REVOKE_S - time.monotonic()))
    for n in range(6):
        for name in ("a", "b", "c", "late"):
            path = f"/stock/{name}-{n}"
            check_refused(versions, get(deployment, name, OLD_KEY, path), path)
            check_refused(versions, get(deployment, name, KEY, path), path)
        time.sleep(0.3)
    versions.publish(versions.build(has_old_key=False))
    for name in ("a", "b", "c", "late"):
        added = f"{versions.added_prefix}1"
        wait_for(
            lambda name=name, path=added: (
                get(deployment, name, KEY, path).status == SERVED
            ),
            APPLY_S,
        )
        assert get(deployment, name, OLD_KEY).status == 401


@pytest.mark.parametrize("failure", ["checked", "unexpected"])
def test_a_version_that_one_build_cannot_decode_is_in_force_at_others(
    bare_deployment, failure
):
    # Guards against a reader that passes on an older version as the newest, and a
    # copy without the newest version that a peer's update makes current.
    deployment = bare_deployment
    older = ("-m", "tests.users_platform.standins.older_gateway")
    normal = ("-m", "cassiaspread_platform")
    launchers = {"a": older, "b": normal, "c": older, "d": normal}
    versions = start_fleet(deployment, launchers)
    document = versions.build(has_old_key=False) | {"newer": failure}
    acknowledged_s = versions.publish(document)
    added = f"{versions.added_prefix}1"
    for name in ("b", "d"):
        wait_for(
            lambda name=name: get(deployment, name, KEY, added).status == SERVED,
            APPLY_S,
        )
    time.sleep(max(0.0, acknowledged_s + REVOKE_S - time.monotonic()))
    for n in range(6):
        for name, launcher in launchers.items():
            path = f"/stock/{name}-{n}"
            answer = get(deployment, name, OLD_KEY, path)
            if launcher == older:
                check_refused(versions, answer, path)
                check_refused(versions, get(deployment, name, KEY, path), path)
            else:
                assert answer.status == 401
                assert get(deployment, name, KEY, path).status == SERVED
        time.sleep(0.3)
