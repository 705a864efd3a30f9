"""Runs a request on a pipeline and relays its tokens."""

from cassiaspread_daemon.relay._generation import Generation, GenerationRequest

__all__ = ["Generation", "GenerationRequest"]
