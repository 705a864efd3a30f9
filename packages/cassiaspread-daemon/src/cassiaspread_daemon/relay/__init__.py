"""Runs a request on a pipeline and relays its tokens."""

from cassiaspread_daemon.relay._generation import Generation
from cassiaspread_daemon.relay._request import GenerationRequest
from cassiaspread_daemon.relay._services import RelayServices

__all__ = ["Generation", "GenerationRequest", "RelayServices"]
