"""Formatting of completions as JSON and as server-sent events.

The part that is the same in all events of a stream is encoded once; only the position
and the text of the token are inserted for each event.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from cassiaspread_core.base import Refusal
from cassiaspread_core.pipeline import TokenStep
from cassiaspread_daemon._problem import to_problem

STREAM_END = b"data: [DONE]\n\n"
TEXT_PLACEHOLDER = "\x00"
ENCODED_PLACEHOLDER = msgspec.json.encode(TEXT_PLACEHOLDER)

ChoiceBuilder = Callable[[str, str | None], dict[str, Any]]


def build_text_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return a choice of a text completion, complete or streamed.

    :param text: text of the answer or token.
    :param finish_reason: reason for the end of the answer, if it has ended.
    """
    return {"index": 0, "text": text, "finish_reason": finish_reason}


def build_message_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return the choice of a complete chat completion.

    :param text: text of the answer.
    :param finish_reason: reason for the end of the answer.
    """
    message = {"role": "assistant", "content": text}
    return {"index": 0, "message": message, "finish_reason": finish_reason}


def build_delta_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return the choice of one event of a chat completion.

    :param text: text of the token.
    :param finish_reason: reason for the end of the answer, if it has ended.
    """
    return {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}


def build_event_formatter(
    object_name: str, model: str, build_choice: ChoiceBuilder
) -> Callable[[TokenStep], bytes]:
    """Return a function that formats the events of one stream.

    :param object_name: value of the field ``object``.
    :param model: model that answers.
    :param build_choice: builds the choice.

    >>> format_event = build_event_formatter("text_completion", "m", build_text_choice)
    >>> format_event(TokenStep(position=3, text="loin")).splitlines()[0]
    b'id: 3'
    """
    encode = msgspec.json.encode

    def envelope(text: str, finish_reason: str | None) -> bytes:
        choices = [build_choice(text, finish_reason)]
        return encode({"object": object_name, "model": model, "choices": choices})

    before, after = envelope(TEXT_PLACEHOLDER, None).rsplit(ENCODED_PLACEHOLDER, 1)
    template = b"id: %d\ndata: " + before.replace(b"%", b"%%")
    template += b"%b" + after.replace(b"%", b"%%") + b"\n\n"

    def format_event(step: TokenStep) -> bytes:
        if step.finish_reason is None:
            return template % (step.position, encode(step.text))
        data = envelope("", step.finish_reason)
        return b"id: %d\ndata: %b\n\n" % (step.position, data)

    return format_event


def format_error(refusal: Refusal) -> bytes:
    """Return the event that ends a stream which can't be completed.

    :param refusal: reason.
    """
    data = msgspec.json.encode(to_problem(refusal))
    return b"event: error\ndata: " + data + b"\n\n"


def format_answer(
    object_name: str, model: str, build_choice: ChoiceBuilder, steps: list[TokenStep]
) -> bytes:
    """Return a complete answer.

    :param object_name: value of the field ``object``.
    :param model: model that answered.
    :param build_choice: builds the choice.
    :param steps: all steps; the last one marks the end.
    """
    text = "".join(step.text for step in steps)
    answer = {
        "object": object_name,
        "model": model,
        "choices": [build_choice(text, steps[-1].finish_reason)],
        "usage": {"completion_tokens": len(steps) - 1},
    }
    return msgspec.json.encode(answer)
