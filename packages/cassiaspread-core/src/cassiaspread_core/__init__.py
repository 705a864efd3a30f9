"""Decisions of the cassiaspread router, one subpackage for each matter.

Nothing in this package reads a clock, opens a socket or runs an event loop: the
present time, random generators and observations are arguments. A daemon, a test or
a simulator can therefore drive the same code.
"""
