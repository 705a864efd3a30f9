"""Requests to all daemons at once."""

import asyncio
from typing import Any, Generic, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from cassiaspread_cli._context import CommandError, Context, ExitStatus

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 1000

Value = TypeVar("Value")


class Answer(msgspec.Struct, Generic[Value], frozen=True):
    """What one daemon answered.

    :param daemon: ``host:port`` of the daemon.
    :param value: its answer, ``None`` without one.
    :param error: why there is none.
    """

    daemon: str
    value: Value | None
    error: str = ""


async def ask_all(context: Context, path: str, value_type: Any) -> list[Answer[Any]]:
    """Ask all daemons; those that can't be reached give an error.

    :param context: the shared options.
    :param path: path of the operators' interface.
    :param value_type: type of the answers.
    """
    context.check_daemons()
    client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
    try:
        return await asyncio.gather(
            *(_ask(client, context, d, path, value_type) for d in context.daemons)
        )
    finally:
        client.close()


def split_answers(answers: list[Answer[Any]]) -> tuple[list, list]:
    """Split answers into those with and those without a value.

    :param answers: the answers of all daemons.
    :raises CommandError: no daemon answered.
    """
    reached = [answer for answer in answers if answer.value is not None]
    failed = [answer for answer in answers if answer.value is None]
    if not reached:
        errors = "\n".join(f"  {answer.daemon}: {answer.error}" for answer in failed)
        raise CommandError(
            ExitStatus.UNREACHABLE,
            f"no daemon answered:\n{errors}",
            "Check --daemons and the network from here, then try again.",
        )
    return reached, failed


async def _ask(
    client: AsyncHTTPClient, context: Context, daemon: str, path: str, value_type: Any
) -> Answer[Any]:
    try:
        response = await client.fetch(
            f"http://{daemon}{path}",
            headers={"Authorization": f"Bearer {context.token}"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=min(REQUEST_TIMEOUT_S, context.timeout_s),
        )
        return Answer(daemon, msgspec.json.decode(response.body, type=value_type))
    except HTTPError as error:
        if error.code in (401, 403):
            return Answer(daemon, None, "the token is no operator's there")
        return Answer(daemon, None, error.message or str(error.code))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return Answer(daemon, None, str(error))
