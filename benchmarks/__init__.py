"""Benchmarks, each one command."""
