"""What a caller asked for, checked."""

import msgspec
import xxhash

from cassiaspread_core.base import ModelId, OrganisationId, RequestId


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller asked for, checked.

    :param request: identity of the request.
    :param organisation: who asks.
    :param model: model to run.
    :param n_layers: layers of the model.
    :param prompt: text of the prompt.
    :param max_tokens: most tokens of the answer.
    :param start: position of the first token that the caller still lacks.
    :param deadline_s: end of its time, on the loop's clock.
    """

    request: RequestId
    organisation: OrganisationId
    model: ModelId
    n_layers: int
    prompt: str
    max_tokens: int
    start: int
    deadline_s: float

    def fingerprint(self) -> str:
        """Hash the content, which must be the same when the request is repeated."""
        content = f"{self.model}\n{self.max_tokens}\n{self.prompt}"
        return xxhash.xxh3_64_hexdigest(content.encode())
