"""Decisions of the cassiaspread router.

Nothing in this package reads a clock, opens a socket or runs an event loop: the
present time, random generators and observations are arguments. A daemon, a test or
a simulator can therefore drive the same code.

Subpackages: :mod:`cassiaspread_core.base` (identifiers, states, errors),
:mod:`cassiaspread_core.pipeline` (plans over layer ranges and token order),
:mod:`cassiaspread_core.policy` (configuration and its merge rules),
:mod:`cassiaspread_core.operations` (reports for operators),
:mod:`cassiaspread_core.quarantine` (requests that crash their target) and
:mod:`cassiaspread_core.timeline` (events ordered by a hybrid logical clock).
"""

__all__ = ["base", "operations", "pipeline", "policy", "quarantine", "timeline"]
