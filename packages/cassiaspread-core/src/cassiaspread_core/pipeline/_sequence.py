"""Exactly-once, in-order delivery of the tokens of a stream."""

import msgspec

from cassiaspread_core.base import Count


class TokenStep(msgspec.Struct, frozen=True, gc=False):
    """One token as delivered by an engine.

    :param attempt: attempt that produced it.
    :param position: zero-based index in the answer.
    :param text: text of the token.
    :param finish_reason: set on the last step only, whose text is empty.
    """

    attempt: Count = 0
    position: Count = 0
    text: str = ""
    finish_reason: str | None = None


class TokenSequence:
    """Delivery state of one caller's stream.

    :param attempt: attempt whose tokens are accepted.
    :param position: position of the next token to deliver.
    :param max_tokens: largest number of tokens of the answer, if it is limited.

    >>> sequence = TokenSequence(attempt=1)
    >>> sequence.accept(TokenStep(1, 0, "a"))
    True
    >>> sequence.accept(TokenStep(1, 0, "a")), sequence.accept(TokenStep(0, 1, "b"))
    (False, False)
    """

    def __init__(
        self, attempt: int, position: int = 0, max_tokens: int | None = None
    ) -> None:
        self._attempt = attempt
        self._position = position
        self._max_tokens = max_tokens
        self._finish_reason: str | None = None

    @property
    def attempt(self) -> int:
        """Attempt whose tokens are accepted."""
        return self._attempt

    @property
    def position(self) -> int:
        """Position of the next token to deliver."""
        return self._position

    @property
    def finish_reason(self) -> str | None:
        """Finish reason of the stream, ``None`` until it is complete."""
        return self._finish_reason

    def start_attempt(self, attempt: int) -> None:
        """Switch to a later attempt; steps of earlier ones are rejected from now on.

        :param attempt: number greater than that of the current attempt.
        :raises ValueError: the attempt is not greater.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} does not follow {self._attempt}")
        self._attempt = attempt

    def accept(self, step: TokenStep) -> bool:
        """Accept a step if it is the next one of the stream.

        :param step: step delivered by an engine.
        :returns: ``False`` for a step of another attempt or position, and for a token
            beyond the largest number.
        """
        if step.attempt != self._attempt or step.position != self._position:
            return False
        if self._finish_reason is not None:
            return False
        if step.finish_reason is not None:
            self._finish_reason = step.finish_reason
            return True
        if self._max_tokens is not None and self._position >= self._max_tokens:
            return False
        self._position += 1
        return True
