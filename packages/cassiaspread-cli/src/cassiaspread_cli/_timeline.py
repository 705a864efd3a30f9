"""Command ``timeline``."""

import argparse
from pathlib import Path
from urllib.parse import urlencode

import msgspec

from cassiaspread_cli._context import CommandError, Context, ExitStatus
from cassiaspread_cli._daemons import query_all, split_responses, warn_of_failures
from cassiaspread_cli._output import print_json
from cassiaspread_cli._timeline_page import render_page
from cassiaspread_core.timeline import Event, merge_events


async def timeline(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the events of all daemons in causal order.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    query = f"?{urlencode({'request': arguments.request})}" if arguments.request else ""
    responses = await query_all(context, "/operators/events" + query, list[Event])
    reached, failed = split_responses(responses)
    events = merge_events(event for response in reached for event in response.value)
    if arguments.html is not None:
        title = f"request {arguments.request}" if arguments.request else "time line"
        _write_page(arguments.html, render_page(events, title))
    elif context.is_json:
        print_json(events)
    else:
        for event in events:
            print(_format_event(event))
    return warn_of_failures(failed)


def _write_page(path: Path, page: str) -> None:
    try:
        path.write_text(page)
    except OSError as error:
        raise CommandError(
            ExitStatus.BAD_INPUT,
            f"{path} can't be written: {error.strerror}",
            "Name a file in a directory that exists.",
        ) from None
    print(f"wrote {path}")


def _format_event(event: Event) -> str:
    fields = msgspec.json.encode(event.fields).decode()
    return f"{event.timestamp} {event.process} {event.kind} {event.request} {fields}"
