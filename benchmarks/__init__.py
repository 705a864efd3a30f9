"""Measurements; each module is one command."""
