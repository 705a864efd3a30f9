"""Answers to reports and orders of engines that answer twice, the second time late."""

import asyncio
import time

import pytest

from cassiaspread_core.base import DomainId, RequestId, ServiceId, TargetId
from cassiaspread_core.placement import Engine, LayerRange
from cassiaspread_daemon.gateway import ConnectionPool, OrderOutcome, Stall
from cassiaspread_platform._engines import EngineClient
from tests.users_platform.deployment import MODEL_SERVICE, N_LAYERS, wait_for

GATEWAY = "gateway"
HEAD = "head"
# Time that the engine takes for each report and order, in seconds; a copy of the one
# before arrives before it has passed, or on the idle connection.
CONTROL_S = 0.1
COPY_AFTER_S = (0.0, 0.05)
TIMEOUT_S = 2.0
OTHER_ADDRESS = "127.0.0.1:1"
N_CALLS = 4
# Second answers to requests that have the statuses of answers to orders.
SECOND_ANSWERS = {
    "done": {"status": 200},
    "conflict": {"status": 409},
    "fenced": {"status": 412},
    "not found": {"status": 404},
}
SECOND_AFTER_S = (0.0, 0.5)


@pytest.fixture(scope="module")
def stuttering_engine(bare_module_deployment):
    """One engine that holds layers on the order of a gateway."""
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    deployment.add_engine(HEAD, MODEL_SERVICE, "celje", "large")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    return deployment


@pytest.fixture
def call_engine(stuttering_engine):
    """Run calls to the engine in this process, with a client of their own."""

    def run(calls):
        async def main():
            with ConnectionPool() as pool:
                address = f"127.0.0.1:{stuttering_engine.ports[HEAD]}"
                await calls(EngineClient(pool), address)

        asyncio.run(main())

    yield run
    stuttering_engine.control(
        HEAD,
        repeats_control=False,
        control_s=0.0,
        second=None,
        second_after_s=0.0,
        stalled={},
    )


@pytest.mark.parametrize("copy_after_s", COPY_AFTER_S)
def test_report_is_not_a_copy_of_an_earlier_one(
    stuttering_engine, call_engine, copy_after_s
):
    deployment = stuttering_engine
    deployment.control(
        HEAD, repeats_control=True, control_s=CONTROL_S, second_after_s=copy_after_s
    )

    async def calls(client, address):
        for n in range(N_CALLS):
            stalled = {f"request-{n}": OTHER_ADDRESS}
            await asyncio.to_thread(deployment.control, HEAD, stalled=stalled)
            report = await client.report(address, TIMEOUT_S)
            assert report.stalls == (Stall(RequestId(f"request-{n}"), OTHER_ADDRESS),)

    call_engine(calls)


@pytest.mark.parametrize("copy_after_s", COPY_AFTER_S)
def test_report_is_not_a_copy_of_the_answer_to_an_order(
    stuttering_engine, call_engine, copy_after_s
):
    deployment = stuttering_engine
    deployment.control(
        HEAD, repeats_control=True, control_s=CONTROL_S, second_after_s=copy_after_s
    )
    engine = Engine(
        target=TargetId(HEAD),
        service=ServiceId(MODEL_SERVICE),
        address=f"127.0.0.1:{deployment.ports[HEAD]}",
        domain=DomainId("celje"),
    )

    async def calls(client, address):
        for _ in range(N_CALLS):
            # The fencing token is lower than that of the gateway.
            outcome = await client.place(
                engine, LayerRange(0, N_LAYERS), 0, 0, TIMEOUT_S
            )
            assert outcome is OrderOutcome.FENCED
            report = await client.report(address, TIMEOUT_S)
            assert report.layers == LayerRange(0, N_LAYERS)

    call_engine(calls)


@pytest.mark.parametrize("second_after_s", SECOND_AFTER_S)
@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_order_is_not_answered_by_an_answer_to_a_request(
    stuttering_engine, call_engine, kind, second_after_s
):
    deployment = stuttering_engine
    n_before = len(deployment.decisions(GATEWAY, "order.given"))
    deployment.control(
        HEAD,
        control_s=CONTROL_S,
        second=SECOND_ANSWERS[kind],
        second_after_s=second_after_s,
    )
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    # The engine has lost its layers; the gateway orders it to hold them.
    deployment.control(HEAD, layers=None)
    orders = wait_for(lambda: deployment.decisions(GATEWAY, "order.given")[n_before:])
    assert [order["outcome"] for order in orders] == ["begun"]
    deployment.control(HEAD, second=None)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    # No second answer of this test may follow later.
    time.sleep(second_after_s)


def test_stalled_row_that_names_no_engine_spoils_no_report(
    stuttering_engine, call_engine
):
    stalled = {"a": OTHER_ADDRESS, "b": "engine-7:80"}
    stuttering_engine.control(HEAD, stalled=stalled)

    async def calls(client, address):
        report = await client.report(address, TIMEOUT_S)
        assert report.stalls == (Stall(RequestId("a"), OTHER_ADDRESS),)

    call_engine(calls)
