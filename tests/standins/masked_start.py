"""Runs an entry point and unblocks SIGHUP at its first import of a library.

It is started with SIGHUP blocked. What is sent before then, while the interpreter
starts or the entry point sets its handler, is delivered at that import.

The first argument is a module or the path of a script; the others are passed on.
"""

# runpy, and modules that entry points need for their handler, are imported here, so
# that only further imports count.
import contextlib  # noqa: F401
import pkgutil  # noqa: F401
import re  # noqa: F401
import runpy
import signal
import sys

ENTRY_POINTS = {
    "cassiaspread_daemon",
    "cassiaspread_daemon._main",
    "cassiaspread_daemon.reload_signal",
    "cassiaspread_platform",
    "cassiaspread_platform.__main__",
}


class UnblockingFinder:
    """Finds nothing; sees each module that is not imported yet."""

    def find_spec(self, name, path=None, target=None):
        if name not in ENTRY_POINTS:
            sys.meta_path.remove(self)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


if __name__ == "__main__":
    sys.argv.pop(0)
    entry_point = sys.argv[0]
    sys.meta_path.insert(0, UnblockingFinder())
    if "/" in entry_point:
        runpy.run_path(entry_point, run_name="__main__")
    else:
        runpy.run_module(entry_point, run_name="__main__", alter_sys=True)
