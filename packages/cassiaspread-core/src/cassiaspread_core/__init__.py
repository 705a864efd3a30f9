"""Decision logic of the cassiaspread router, with one subpackage per topic.

Nothing in this package reads a clock, opens a socket or runs an event loop: the
current time, random generators and observations are arguments. The same code can
therefore run in a daemon, a test or a simulator.
"""
