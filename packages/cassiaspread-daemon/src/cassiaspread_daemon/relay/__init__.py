"""Runs requests on pipelines and relays their tokens to the callers."""

from cassiaspread_daemon.relay._generation import Generation
from cassiaspread_daemon.relay._request import GenerationRequest
from cassiaspread_daemon.relay._services import RelayServices

__all__ = ["Generation", "GenerationRequest", "RelayServices"]
