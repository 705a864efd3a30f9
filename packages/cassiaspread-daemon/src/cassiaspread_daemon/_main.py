"""Entry point of ``cassiaspreadd``."""

from cassiaspread_daemon.reload_signal import ReloadSignal


def main() -> None:
    """Read the settings and run the daemon; exit with status 2 if one is invalid."""
    reload_signal = ReloadSignal()
    reload_signal.hold()
    # These imports take long: SIGHUP must not end the process meanwhile.
    from cassiaspread_daemon._serve import run

    run(reload_signal)
