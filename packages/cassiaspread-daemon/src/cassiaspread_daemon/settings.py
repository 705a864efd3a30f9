"""Parsers of single settings, for adapters that have settings of their own."""

from cassiaspread_daemon._settings import EXIT_BAD_SETTINGS, Address, check_address

__all__ = ["EXIT_BAD_SETTINGS", "Address", "check_address"]
