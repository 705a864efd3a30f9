import asyncio

from cassiaspread_daemon.gateway._shared_calls import SharedCalls


def test_calls_at_one_time_share_a_result_which_is_then_forgotten():
    # Results of addresses that were never asked for again were kept for ever.
    n_calls = []

    async def call(key):
        n_calls.append(key)
        return len(n_calls)

    async def run():
        shared = SharedCalls(call, lifetime_s=0.3)
        results = await asyncio.gather(
            shared.result("a", 1.0), shared.result("a", 1.2), shared.result("b", 1.2)
        )
        assert results == [1, 1, 2]
        assert await shared.result("c", 2.0) == 3
        assert len(shared) == 1

    asyncio.run(run())


def test_failure_is_shared_and_a_later_call_is_made_again():
    async def call(key):
        raise OSError(key)

    async def run():
        shared = SharedCalls(call, lifetime_s=0.3)
        for now_s in (1.0, 1.1, 2.0):
            result = await asyncio.gather(
                shared.result("a", now_s), return_exceptions=True
            )
            assert isinstance(result[0], OSError)

    asyncio.run(run())
