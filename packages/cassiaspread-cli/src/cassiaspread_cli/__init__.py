"""The operators' command line ``cassiaspread``."""

from cassiaspread_cli._main import main

__all__ = ["main"]
