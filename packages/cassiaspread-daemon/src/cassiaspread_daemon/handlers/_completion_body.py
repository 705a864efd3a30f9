"""Bodies of completion requests."""

from typing import Annotated

import msgspec

from cassiaspread_core.base import (
    PositiveCount,
    Refusal,
    parse_count,
)

DEFAULT_MAX_TOKENS = 16


class CompletionBody(msgspec.Struct):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: PositiveCount = DEFAULT_MAX_TOKENS
    stream: bool = False

    def to_prompt(self) -> str:
        """Return the prompt for the engines."""
        return self.prompt


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: PositiveCount = DEFAULT_MAX_TOKENS
    stream: bool = False

    def to_prompt(self) -> str:
        """Return the prompt for the engines: each message preceded by its role."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


AnyBody = CompletionBody | ChatBody


def decode_body(body: bytes, body_type: type[AnyBody]) -> AnyBody:
    """Decode and validate a body.

    :param body: bytes of the body.
    :param body_type: expected type.
    :raises Refusal: the body is not of that type.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.ValidationError as error:
        raise Refusal(400, "bad-body", f"{error}.") from None
    except RecursionError:
        raise Refusal(400, "bad-json", "The body is nested too deeply.") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Refusal(400, "bad-json", f"The body is no JSON: {error}.") from None


def parse_event_id(text: str | None) -> int:
    """Parse ``Last-Event-ID``.

    :param text: value of the header, ``None`` without one.
    :returns: position of the first token to send.
    :raises Refusal: the value is not a position.

    >>> parse_event_id(None), parse_event_id("4")
    (0, 5)
    """
    if text is None:
        return 0
    position = parse_count(text)
    if position is None:
        raise Refusal(400, "bad-event-id", "Last-Event-ID takes a position.")
    return position + 1
