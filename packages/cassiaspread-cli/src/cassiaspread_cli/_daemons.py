"""Client of the operator API of the daemons."""

import asyncio
from contextlib import suppress
from typing import Any, Generic, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from cassiaspread_cli._context import CommandError, Context, ExitStatus
from cassiaspread_cli._output import warn
from cassiaspread_core.base import MalformedDocument, decode_json

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 1000

# Statuses that reject the request itself; every other daemon would reject it too.
REFUSAL_STATUSES = (400, 404, 422)

Value = TypeVar("Value")


class DaemonResponse(msgspec.Struct, Generic[Value], frozen=True):
    """Response of one daemon, or the error instead of it.

    :param daemon: ``host:port`` of the daemon.
    :param value: the decoded response, ``None`` after an error.
    :param error: description of the error, empty otherwise.
    :param is_refusal: whether the daemon rejected the request as invalid.
    """

    daemon: str
    value: Value | None
    error: str = ""
    is_refusal: bool = False


class _Problem(msgspec.Struct):
    detail: str


async def query_all(
    context: Context, path: str, value_type: Any
) -> list[DaemonResponse[Any]]:
    """Query all daemons concurrently.

    :param context: the shared options.
    :param path: path in the operator API.
    :param value_type: type of the response bodies.
    :returns: a response for each daemon, with an error for those that failed.
    """
    context.check_daemons()
    client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
    try:
        return await asyncio.gather(
            *(_query(client, context, d, path, value_type) for d in context.daemons)
        )
    finally:
        client.close()


def split_responses(responses: list[DaemonResponse[Any]]) -> tuple[list, list]:
    """Split responses into those with a value and those with an error.

    :param responses: the responses of all daemons.
    :raises CommandError: no response has a value.
    """
    reached = [response for response in responses if response.value is not None]
    failed = [response for response in responses if response.value is None]
    if not reached:
        errors = "\n".join(
            f"  {response.daemon}: {response.error}" for response in failed
        )
        raise CommandError(
            ExitStatus.UNREACHABLE,
            f"no daemon answered:\n{errors}",
            "Check --daemons and the network from here, then try again.",
        )
    return reached, failed


def warn_of_failures(failed: list[DaemonResponse[Any]]) -> ExitStatus:
    """Print a warning for each daemon that failed.

    :param failed: responses without a value.
    :returns: exit status of a command that printed all other responses.
    """
    for response in failed:
        warn(f"request to {response.daemon} failed: {response.error}")
    return ExitStatus.PARTIAL if failed else ExitStatus.DONE


async def query_first(
    context: Context, path: str, value_type: Any, body: Any = None
) -> DaemonResponse[Any]:
    """Query the daemons one after another until one responds.

    :param context: the shared options.
    :param path: path in the operator API.
    :param value_type: type of the response body.
    :param body: body of a POST request; ``None`` sends a GET request.
    :raises CommandError: a daemon rejected the request, or none responded.
    """
    context.check_daemons()
    client = AsyncHTTPClient(force_instance=True)
    responses: list[DaemonResponse[Any]] = []
    try:
        for daemon in context.daemons:
            response = await _query(client, context, daemon, path, value_type, body)
            if response.value is not None:
                return response
            if response.is_refusal:
                raise CommandError(
                    ExitStatus.BAD_INPUT, response.error, "Correct the arguments."
                )
            responses.append(response)
    finally:
        client.close()
    split_responses(responses)
    raise AssertionError("split_responses raises if no daemon responded")


async def _query(
    client: AsyncHTTPClient,
    context: Context,
    daemon: str,
    path: str,
    value_type: Any,
    body: Any = None,
) -> DaemonResponse[Any]:
    try:
        response = await client.fetch(
            f"http://{daemon}{path}",
            method="GET" if body is None else "POST",
            body=None if body is None else msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {context.token}"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=min(REQUEST_TIMEOUT_S, context.timeout_s),
        )
        return DaemonResponse(daemon, decode_json(response.body, value_type))
    except HTTPError as error:
        if error.code in (401, 403):
            return DaemonResponse(daemon, None, "the token is no operator's there")
        is_refusal = error.code in REFUSAL_STATUSES
        return DaemonResponse(daemon, None, _get_error_detail(error), is_refusal)
    except (OSError, ValueError) as error:
        return DaemonResponse(daemon, None, str(error))


def _get_error_detail(error: HTTPError) -> str:
    if error.response is not None and error.response.body:
        with suppress(MalformedDocument):
            return decode_json(error.response.body, _Problem).detail
    return error.message or str(error.code)
