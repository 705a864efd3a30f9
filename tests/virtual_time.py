"""An event loop whose time passes only while all tasks wait."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Returns at once and adds the time that it would have waited to the clock."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait, and none of them for a time")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that use no sockets, in the order of the times they wait for."""

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def time(self):
        return self._virtual_selector.now_s


def run(main):
    """Run a coroutine function, which gets the clock, in virtual time.

    :param main: called with a function that returns the time in seconds.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main(runner.get_loop().time))
