"""Command-line interface ``cassiaspread`` for operators."""

from cassiaspread_cli._main import main

__all__ = ["main"]
