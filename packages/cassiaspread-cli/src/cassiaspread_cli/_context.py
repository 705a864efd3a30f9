"""Shared options, exit statuses and errors of the commands."""

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
    """Error that ends a command.

    :param status: exit status of the command.
    :param problem: description of the error.
    :param advice: how to correct it.
    """

    def __init__(self, status: ExitStatus, problem: str, advice: str) -> None:
        super().__init__(f"{problem}\n{advice}")
        self.status = status
        self.problem = problem
        self.advice = advice


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the options that all commands share.

    :param daemons: ``host:port`` of each daemon.
    :param log: ``host:port`` of the platform's log, empty if not given.
    :param token: bearer token of the operator, empty if not given.
    :param is_json: whether results are printed as JSON.
    :param timeout_s: maximum wait for an outcome, in seconds.
    """

    daemons: tuple[str, ...]
    log: str
    token: str
    is_json: bool
    timeout_s: float

    def check_daemons(self) -> None:
        """Check that the daemons and the token are given.

        :raises CommandError: the daemons or the token are missing.
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
        """Check that the address of the log is given.

        :raises CommandError: the address is missing.
        """
        if not self.log:
            raise CommandError(
                ExitStatus.BAD_INPUT,
                "the log's address is not given",
                f"Set --log HOST:PORT or {LOG_VARIABLE}.",
            )


def add_shared_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that are accepted before and after a command.

    :param parser: parser of the program or of a command.
    """
    unset = argparse.SUPPRESS
    parser.add_argument(
        "--daemons",
        default=unset,
        metavar="HOST:PORT,...",
        help=f"daemons to query ({DAEMONS_VARIABLE})",
    )
    parser.add_argument(
        "--log",
        default=unset,
        metavar="HOST:PORT",
        help=f"log service of the platform ({LOG_VARIABLE})",
    )
    parser.add_argument(
        "--token",
        default=unset,
        help=f"bearer token of the operator ({TOKEN_VARIABLE})",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=unset,
        help="print JSON instead of tables",
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=unset,
        help=f"maximum wait for an outcome (default {DEFAULT_TIMEOUT_S:g} s)",
    )


def read_context(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> Context:
    """Read the shared options from the arguments and the environment.

    :param arguments: the parsed arguments.
    :param environment: environment variables; flags take precedence.
    """
    daemons = getattr(arguments, "daemons", environment.get(DAEMONS_VARIABLE, ""))
    return Context(
        daemons=tuple(part.strip() for part in daemons.split(",") if part.strip()),
        log=getattr(arguments, "log", environment.get(LOG_VARIABLE, "")),
        token=getattr(arguments, "token", environment.get(TOKEN_VARIABLE, "")),
        is_json=getattr(arguments, "json", False),
        timeout_s=getattr(arguments, "timeout_s", DEFAULT_TIMEOUT_S),
    )
