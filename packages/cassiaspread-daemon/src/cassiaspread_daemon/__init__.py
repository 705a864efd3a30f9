"""The routing daemon ``cassiaspreadd``."""

from cassiaspread_daemon._main import main

__all__ = ["main"]
