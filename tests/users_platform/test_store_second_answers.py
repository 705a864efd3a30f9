"""A store that answers each call twice, the second time late."""

import asyncio
import time

import pytest

from cassiaspread_daemon.gateway import ConnectionPool
from cassiaspread_platform._store import KeyedPage, KeyedRecord, Store
from tests.users_platform.deployment import PLAIN_SERVICE, wait_for

GATEWAY = "gateway"
# Time that the store takes for each call, in seconds; a copy of the answer before
# arrives before it has passed, or on the idle connection.
ANSWER_S = 0.1
COPY_AFTER_S = (0.0, 0.05)
GATEWAY_COPY_AFTER_S = (0.4, 0.9)
# A page of the newest records holds two, so that this takes three calls.
N_KEYS = 6
N_CALLS = 4
TTL_MS = 5000
GROUP = "placement"
APPLY_BOUND_S = 2.0
N_VERSIONS = 6


@pytest.fixture(params=COPY_AFTER_S)
def stuttering_store(bare_deployment, request):
    bare_deployment.control("store", answer_s=ANSWER_S, copy_after_s=request.param)
    return bare_deployment


def run(deployment, calls):
    """Run calls to the store in this process, with one client."""

    async def main():
        with ConnectionPool() as pool:
            await calls(Store(f"127.0.0.1:{deployment.store_port}", pool))

    asyncio.run(main())


def test_page_is_not_a_copy_of_an_earlier_page(stuttering_store):
    async def calls(store):
        position = (await store.read_newest("keyed.status")).position
        for n in range(N_CALLS):
            # A page without records, of which a copy looks like the next one.
            empty = KeyedPage([], position, position)
            assert await store.read_keyed("keyed.status", position, 0.0) == empty
            value = str(n).encode()
            await asyncio.to_thread(
                stuttering_store.put_record, "keyed.status", "key", value
            )
            page = await store.read_keyed("keyed.status", position, 0.0)
            assert page.records == [KeyedRecord("key", value)]
            position = page.position

    run(stuttering_store, calls)


def test_snapshot_has_each_key_once(stuttering_store):
    keys = [f"key-{n}" for n in range(N_KEYS)]
    for key in keys:
        stuttering_store.put_record("keyed.status", key, b"value")

    async def calls(store):
        newest = await store.read_newest("keyed.status")
        assert [record.key for record in newest.records] == keys

    run(stuttering_store, calls)


def test_page_of_one_topic_is_not_that_of_another(stuttering_store):
    topics = ("keyed.op", "keyed.servers", "keyed.status")
    for topic in topics:
        stuttering_store.put_record(topic, topic, b"value")

    async def calls(store):
        for topic in topics * 2:
            page = await store.read_keyed(topic, 0, 0.0)
            assert [record.key for record in page.records] == [topic]

    run(stuttering_store, calls)


def test_append_is_not_confirmed_by_the_answer_to_another_call(stuttering_store):
    async def calls(store):
        for n in range(N_CALLS):
            record = KeyedRecord(f"key-{n}", b"value")
            await store.append_keyed("keyed.status", [record])
            page = await store.read_keyed("keyed.status", n, 0.0)
            assert page.records == [record]

    run(stuttering_store, calls)


def test_duty_is_not_prolonged_by_an_earlier_answer(stuttering_store):
    async def calls(store):
        first = await store.join(GROUP, "a", GROUP, TTL_MS, 0)
        second = await store.join(GROUP, "b", GROUP, TTL_MS, 0)
        assert first.parts
        assert not second.parts
        for n in range(N_CALLS):
            await asyncio.to_thread(stuttering_store.control, "store", rebalance=True)
            # Each time the other member holds the duty.
            membership = await store.join(GROUP, "a", GROUP, TTL_MS, 0)
            assert bool(membership.parts) == (n % 2 == 1)
            assert membership.generation > second.generation
            second = membership

    run(stuttering_store, calls)


@pytest.mark.parametrize("copy_after_s", GATEWAY_COPY_AFTER_S)
def test_gateway_follows_a_store_that_answers_twice(bare_deployment, copy_after_s):
    deployment = bare_deployment
    deployment.control("store", answer_s=ANSWER_S, copy_after_s=copy_after_s)
    deployment.publish_configuration(3)
    deployment.add_engine("plain", PLAIN_SERVICE, "celje")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.is_ready(GATEWAY))

    def versions_in_force():
        rows = deployment.decisions(GATEWAY, "configuration.in_force")
        return [row["version"] for row in rows]

    for version in range(4, 4 + N_VERSIONS):
        deployment.publish_configuration(version)
        wait_for(lambda v=version: v in versions_in_force(), APPLY_BOUND_S)
        # Time for the copies to arrive.
        time.sleep(copy_after_s)
    assert versions_in_force() == list(range(3, 4 + N_VERSIONS))
    for event in ("store.lost", "feed.truncated", "duty.not_renewed"):
        assert deployment.decisions(GATEWAY, event) == []
