"""Bodies of completion requests."""

from typing import Annotated

import msgspec

from cassiaspread_core.base import Refusal

DEFAULT_MAX_TOKENS = 16


class CompletionBody(msgspec.Struct):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False

    def to_prompt(self) -> str:
        """Return the text that the engines get."""
        return self.prompt


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False

    def to_prompt(self) -> str:
        """Return the text that the engines get: each message behind its role."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


AnyBody = CompletionBody | ChatBody


def check_body(body: bytes, body_type: type[AnyBody]) -> AnyBody:
    """Read a body.

    :param body: the bytes that the caller sent.
    :param body_type: what they should be.
    :raises Refusal: they are something else.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.ValidationError as error:
        raise Refusal(400, "bad-body", f"{error}.") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Refusal(400, "bad-json", f"The body is no JSON: {error}.") from None


def check_event_id(text: str | None) -> int:
    """Read ``Last-Event-ID``.

    :param text: value of the header, ``None`` without one.
    :returns: position of the first token that the caller still lacks.
    :raises Refusal: it names no position.

    >>> check_event_id(None), check_event_id("4")
    (0, 5)
    """
    if text is None:
        return 0
    if not text.isascii() or not text.isdigit():
        raise Refusal(400, "bad-event-id", "Last-Event-ID takes a position.")
    return int(text) + 1
