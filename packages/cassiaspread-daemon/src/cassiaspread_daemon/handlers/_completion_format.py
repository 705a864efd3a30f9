"""Answers of completion requests as JSON and as server-sent events.

What is the same in all events of a stream is encoded once; only the position and the
token's text are added to it.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from cassiaspread_core.base import Refusal
from cassiaspread_core.pipeline import TokenStep
from cassiaspread_daemon._problem import to_problem

STREAM_END = b"data: [DONE]\n\n"
TEXT_MARK = "\x00"
ENCODED_MARK = msgspec.json.encode(TEXT_MARK)

ToChoice = Callable[[str, str | None], dict[str, Any]]


def to_text_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return a choice of a completion, whole or streamed.

    :param text: text of the answer or of the token.
    :param finish_reason: why it ended, if it did.
    """
    return {"index": 0, "text": text, "finish_reason": finish_reason}


def to_message_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return the choice of a whole chat completion.

    :param text: text of the answer.
    :param finish_reason: why it ended.
    """
    message = {"role": "assistant", "content": text}
    return {"index": 0, "message": message, "finish_reason": finish_reason}


def to_delta_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return the choice of one event of a chat completion.

    :param text: text of the token.
    :param finish_reason: why the answer ended, if it did.
    """
    return {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}


def build_event_formatter(
    object_name: str, model: str, to_choice: ToChoice
) -> Callable[[TokenStep], bytes]:
    """Return a function that formats the events of one stream.

    :param object_name: name of the kind of object.
    :param model: model that answers.
    :param to_choice: builds the choice.

    >>> format_event = build_event_formatter("text_completion", "m", to_text_choice)
    >>> format_event(TokenStep(position=3, text="loin")).splitlines()[0]
    b'id: 3'
    """
    encode = msgspec.json.encode

    def envelope(text: str, finish_reason: str | None) -> bytes:
        choices = [to_choice(text, finish_reason)]
        return encode({"object": object_name, "model": model, "choices": choices})

    before, after = envelope(TEXT_MARK, None).rsplit(ENCODED_MARK, 1)
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

    :param refusal: why.
    """
    data = msgspec.json.encode(to_problem(refusal))
    return b"event: error\ndata: " + data + b"\n\n"


def format_answer(
    object_name: str, model: str, to_choice: ToChoice, steps: list[TokenStep]
) -> bytes:
    """Return a whole answer.

    :param object_name: name of the kind of object.
    :param model: model that answered.
    :param to_choice: builds the choice.
    :param steps: all steps, the end as last one.
    """
    text = "".join(step.text for step in steps)
    answer = {
        "object": object_name,
        "model": model,
        "choices": [to_choice(text, steps[-1].finish_reason)],
        "usage": {"completion_tokens": len(steps) - 1},
    }
    return msgspec.json.encode(answer)
