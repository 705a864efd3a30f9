"""Options that all commands share, exit statuses and errors."""

import argparse
from collections.abc import Mapping
from enum import IntEnum

import msgspec

from cassiaspread_core.base import CassiaspreadError

DEFAULT_TIMEOUT_S = 10.0
DAEMONS_VARIABLE = "CASSIASPREAD_DAEMONS"
LOG_VARIABLE = "CASSIASPREAD_LOG"
TOKEN_VARIABLE = "CASSIASPREAD_OPERATOR_TOKEN"


class ExitStatus(IntEnum):
    """Exit status of a command."""

    DONE = 0
    UNREACHABLE = 1
    BAD_INPUT = 2
    REJECTED = 3
    UNKNOWN = 4
    PARTIAL = 5
    DIFFERS = 6


class CommandError(CassiaspreadError):
    """A command could not be carried out.

    :param status: exit status.
    :param problem: what is wrong.
    :param advice: what to do next.
    """

    def __init__(self, status: ExitStatus, problem: str, advice: str) -> None:
        super().__init__(f"{problem}\n{advice}")
        self.status = status
        self.problem = problem
        self.advice = advice


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """Checked options that all commands share.

    :param daemons: ``host:port`` of each daemon.
    :param log: ``host:port`` of the platform's log, empty for none.
    :param token: operator's bearer token, empty for none.
    :param is_json: whether results are printed as JSON.
    :param timeout_s: longest wait for an outcome, in seconds.
    """

    daemons: tuple[str, ...]
    log: str
    token: str
    is_json: bool
    timeout_s: float

    def check_daemons(self) -> None:
        """Check that daemons and a token are given.

        :raises CommandError: one of them is missing.
        """
        if not self.daemons:
            raise CommandError(
                ExitStatus.BAD_INPUT,
                "no daemons are given",
                f"Set --daemons HOST:PORT,... or {DAEMONS_VARIABLE}.",
            )
        if not self.token:
            raise CommandError(
                ExitStatus.BAD_INPUT,
                "no operator's token is given",
                f"Set {TOKEN_VARIABLE} (or --token, which other users of this host "
                "can see).",
            )

    def check_log(self) -> None:
        """Check that the log's address is given.

        :raises CommandError: it is missing.
        """
        if not self.log:
            raise CommandError(
                ExitStatus.BAD_INPUT,
                "the log's address is not given",
                f"Set --log HOST:PORT or {LOG_VARIABLE}.",
            )


def add_shared_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that may stand before or after a command.

    :param parser: parser of the program or of one command.
    """
    unset = argparse.SUPPRESS
    parser.add_argument(
        "--daemons",
        default=unset,
        metavar="HOST:PORT,...",
        help=f"daemons to ask ({DAEMONS_VARIABLE})",
    )
    parser.add_argument(
        "--log",
        default=unset,
        metavar="HOST:PORT",
        help=f"the platform's log service ({LOG_VARIABLE})",
    )
    parser.add_argument(
        "--token",
        default=unset,
        help=f"operator's bearer token ({TOKEN_VARIABLE})",
    )
    parser.add_argument(
        "--json", action="store_true", default=unset, help="print JSON, not tables"
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=unset,
        help=f"longest wait for an outcome (default {DEFAULT_TIMEOUT_S:g} s)",
    )


def read_context(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> Context:
    """Read the shared options.

    :param arguments: the parsed arguments.
    :param environment: environment variables; a flag goes first.
    """
    daemons = getattr(arguments, "daemons", environment.get(DAEMONS_VARIABLE, ""))
    return Context(
        daemons=tuple(part.strip() for part in daemons.split(",") if part.strip()),
        log=getattr(arguments, "log", environment.get(LOG_VARIABLE, "")),
        token=getattr(arguments, "token", environment.get(TOKEN_VARIABLE, "")),
        is_json=getattr(arguments, "json", False),
        timeout_s=getattr(arguments, "timeout_s", DEFAULT_TIMEOUT_S),
    )
