"""SIGHUP from the first line of an entry point to the end of the process.

The default action ends the process, and the imports of a daemon take longer than some
operators wait before their first SIGHUP. Entry points import this module before any
other, so it imports nothing that takes long.
"""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType


class ReloadSignal:
    """SIGHUP of this process, kept until something can act on it."""

    def __init__(self) -> None:
        self._is_pending = False
        self._notify: Callable[[], object] | None = None

    def hold(self) -> None:
        """Keep each SIGHUP from now on; it no longer ends the process."""
        signal.signal(signal.SIGHUP, self._handle)
        # System calls of libraries go on after the signal.
        signal.siginterrupt(signal.SIGHUP, False)

    @contextmanager
    def passed_to(self, notify: Callable[[], object]) -> Iterator[None]:
        """Call back for each SIGHUP, and once for all that were kept until now.

        At its end the process is about to end: SIGHUP is ignored from then on.

        :param notify: called in a signal handler.
        """
        # In this order, since the handler may run between any two of these steps.
        self._notify = notify
        if self._is_pending:
            notify()
        try:
            yield
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _handle(self, number: int, frame: FrameType | None) -> None:
        if self._notify is None:
            self._is_pending = True
        else:
            self._notify()
