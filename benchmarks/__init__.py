"""Benchmarks, each run as a command of its own."""
