"""Requests to all daemons at once."""

import asyncio
from contextlib import suppress
from typing import Any, Generic, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from cassiaspread_cli._context import CommandError, Context, ExitStatus
from cassiaspread_cli._output import warn

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 1000

# Every daemon would refuse the same request.
REFUSALS = (400, 404, 422)

Value = TypeVar("Value")


class Answer(msgspec.Struct, Generic[Value], frozen=True):
    """What one daemon answered.

    :param daemon: ``host:port`` of the daemon.
    :param value: its answer, ``None`` without one.
    :param error: why there is none.
    :param is_refusal: whether the daemon refused what was asked.
    """

    daemon: str
    value: Value | None
    error: str = ""
    is_refusal: bool = False


class _Problem(msgspec.Struct):
    detail: str


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


def warn_of_failures(failed: list[Answer[Any]]) -> ExitStatus:
    """Name the daemons that gave no answer.

    :param failed: answers without a value.
    :returns: the exit status of a command whose other answers were shown.
    """
    for answer in failed:
        warn(f"no answer from {answer.daemon}: {answer.error}")
    return ExitStatus.PARTIAL if failed else ExitStatus.DONE


async def ask_first(
    context: Context, path: str, value_type: Any, body: Any = None
) -> Answer[Any]:
    """Ask the daemons in turn until one answers.

    :param context: the shared options.
    :param path: path of the operators' interface.
    :param value_type: type of the answer.
    :param body: body of a POST request; without one it is a GET request.
    :raises CommandError: a daemon refused the request, or none answered.
    """
    context.check_daemons()
    client = AsyncHTTPClient(force_instance=True)
    answers: list[Answer[Any]] = []
    try:
        for daemon in context.daemons:
            answer = await _ask(client, context, daemon, path, value_type, body)
            if answer.value is not None:
                return answer
            if answer.is_refusal:
                raise CommandError(
                    ExitStatus.BAD_INPUT, answer.error, "Correct the arguments."
                )
            answers.append(answer)
    finally:
        client.close()
    split_answers(answers)
    raise AssertionError("split_answers raises when no daemon answered")


async def _ask(
    client: AsyncHTTPClient,
    context: Context,
    daemon: str,
    path: str,
    value_type: Any,
    body: Any = None,
) -> Answer[Any]:
    try:
        response = await client.fetch(
            f"http://{daemon}{path}",
            method="GET" if body is None else "POST",
            body=None if body is None else msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {context.token}"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=min(REQUEST_TIMEOUT_S, context.timeout_s),
        )
        return Answer(daemon, msgspec.json.decode(response.body, type=value_type))
    except HTTPError as error:
        if error.code in (401, 403):
            return Answer(daemon, None, "the token is no operator's there")
        is_refusal = error.code in REFUSALS
        return Answer(daemon, None, _explain(error), is_refusal)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return Answer(daemon, None, str(error))


def _explain(error: HTTPError) -> str:
    if error.response is not None and error.response.body:
        with suppress(msgspec.MsgspecError):
            return msgspec.json.decode(error.response.body, type=_Problem).detail
    return error.message or str(error.code)
