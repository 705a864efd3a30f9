"""Validated request for a generation."""

import msgspec
import xxhash

from cassiaspread_core.base import ModelId, OrganisationId, RequestId


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Validated request of a caller.

    :param request: identity of the request.
    :param organisation: organisation of the caller.
    :param model: model to run.
    :param n_layers: layers of the model.
    :param prompt: text of the prompt.
    :param max_tokens: maximum number of tokens in the answer.
    :param start: position of the first token to deliver.
    :param deadline_s: deadline on the event loop's clock, in seconds.
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
        """Hash the content, which must not differ when the request is repeated."""
        content = f"{self.model}\n{self.max_tokens}\n{self.prompt}"
        return xxhash.xxh3_64_hexdigest(content.encode())
