"""HTTP interface for callers and operators."""

from cassiaspread_daemon.handlers._application import build_application

__all__ = ["build_application"]
