"""Settings of the daemon from flags and environment variables."""

import argparse
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from cassiaspread_core.base import (
    Address,
    DomainId,
    Finding,
    FindingsError,
    VmId,
    parse_address,
    parse_count,
)

ENVIRONMENT_PREFIX = "CASSIASPREAD_"
EXIT_BAD_SETTINGS = 2


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings of one daemon; see ``--help`` for meanings and units."""

    vm: VmId
    domain: DomainId
    region: str
    listen: Address
    peer_listen: Address
    log: Address
    vm_list: Address
    seeds: tuple[Address, ...]
    log_format: str
    n_events: int
    poll_interval_ms: int
    drain_timeout_ms: int
    log_retention_s: int
    balancer_lag_ms: int
    settle_timeout_ms: int
    advertise: Address | None
    request_memory_mb: int


def check_address(text: str) -> Address:
    """Parse ``IP:PORT``.

    :param text: the setting's value.
    :raises ValueError: the text is not an address.

    >>> check_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    return parse_address(text, min_port=0)


def check_optional_address(text: str) -> Address | None:
    """Parse ``IP:PORT`` or an empty text.

    :param text: the setting's value, possibly empty.
    :raises ValueError: the text is neither empty nor an address.
    """
    return check_address(text) if text else None


def check_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of ``IP:PORT``.

    :param text: the setting's value, possibly empty.
    :raises ValueError: an item is not an address.
    """
    return tuple(check_address(part) for part in text.split(",") if part)


def check_count(text: str) -> int:
    """Parse a non-negative integer.

    :param text: the setting's value.
    :raises ValueError: the text is no such number.
    """
    number = parse_count(text)
    if number is None:
        raise ValueError(f"expected a whole number of 0 or more, got {text!r}")
    return number


def check_positive(text: str) -> int:
    """Parse a positive integer.

    :param text: the setting's value.
    :raises ValueError: the text is no such number.
    """
    number = check_count(text)
    if not number:
        raise ValueError("expected a whole number above 0")
    return number


def check_name(text: str) -> str:
    """Parse a non-empty name.

    :param text: the setting's value.
    :raises ValueError: the text is empty.
    """
    if not text:
        raise ValueError("expected a name, got an empty value")
    return text


def check_log_format(text: str) -> str:
    """Parse the format of log lines.

    :param text: the setting's value.
    :raises ValueError: the format is unknown.
    """
    if text not in ("text", "json"):
        raise ValueError(f"expected text or json, got {text!r}")
    return text


class Option(NamedTuple):
    """Definition of a setting.

    :param flag: flag, from which the names of the variable and field are derived.
    :param check: parses the text; raises ``ValueError`` if it is invalid.
    :param default: text used if it is not set; ``None`` makes the setting required.
    :param help: meaning and unit.
    """

    flag: str
    check: Callable[[str], Any]
    default: str | None
    help: str

    @property
    def field(self) -> str:
        """Name of the field in :class:`Settings`."""
        return self.flag.removeprefix("--").replace("-", "_")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()


OPTIONS = (
    Option("--vm", check_name, None, "name of this VM"),
    Option("--domain", check_name, None, "failure domain of this VM"),
    Option("--region", check_name, "default", "region of the failure domain"),
    Option("--listen", check_address, None, "IP:PORT for callers and operators"),
    Option("--peer-listen", check_address, None, "IP:PORT for other daemons"),
    Option("--log", check_address, None, "IP:PORT of the platform's log service"),
    Option("--vm-list", check_address, None, "IP:PORT of the platform's VM list"),
    Option(
        "--seeds",
        check_addresses,
        "",
        "peer IP:PORTs of other daemons, separated by commas",
    ),
    Option(
        "--log-format", check_log_format, "text", "format of log lines: text or json"
    ),
    Option(
        "--n-events", check_count, "20000", "number of events kept for the time line"
    ),
    Option(
        "--poll-interval-ms",
        check_count,
        "500",
        "interval between polls of a target, in milliseconds",
    ),
    Option(
        "--drain-timeout-ms",
        check_count,
        "0",
        "longest wait on shutdown for requests in progress, in milliseconds; "
        "0 means no limit",
    ),
    Option(
        "--log-retention-s",
        check_positive,
        "604800",
        "time for which the log service retains a record, in seconds",
    ),
    Option(
        "--balancer-lag-ms",
        check_count,
        "5000",
        "time for which new connections are accepted after SIGTERM, in milliseconds; "
        "at least the time that the balancer takes to notice the shutdown",
    ),
    Option(
        "--settle-timeout-ms",
        check_count,
        "30000",
        "longest wait on shutdown, after the last request, for pending records to "
        "be written to the log service, in milliseconds",
    ),
    Option(
        "--advertise",
        check_optional_address,
        "",
        "IP:PORT at which other daemons reach this one, if not --peer-listen",
    ),
    Option(
        "--request-memory-mb",
        check_positive,
        "128",
        "memory for requests from their arrival to their end, all together, with the "
        "connections of their callers, in MB; three quarters of it are for bodies",
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the flags."""
    parser = argparse.ArgumentParser(
        prog="cassiaspreadd",
        description="Routes requests to model pipelines and plain services.",
        epilog="Each setting can also be given by the environment variable in "
        "parentheses; the flag takes precedence.",
    )
    for option in OPTIONS:
        default = "required" if option.default is None else f"default {option.default}"
        parser.add_argument(
            option.flag, help=f"{option.help} ({option.variable}; {default})"
        )
    return parser


def read_settings(argv: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Read and validate all settings.

    :param argv: arguments without the program name.
    :param environment: environment variables.
    :raises FindingsError: one finding for each invalid or missing setting.
    """
    flags = vars(build_parser().parse_args(argv))
    findings: list[Finding] = []
    fields: dict[str, Any] = {}
    for option in OPTIONS:
        text, place = _find_text(option, flags, environment)
        if text is None:
            findings.append(Finding(place, "is required"))
            continue
        try:
            fields[option.field] = option.check(text)
        except ValueError as error:
            findings.append(Finding(place, str(error)))
    if findings:
        raise FindingsError(findings)
    return Settings(**fields)


def _find_text(
    option: Option, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str | None, str]:
    text = flags[option.field]
    if text is not None:
        return text, option.flag
    if option.variable in environment:
        return environment[option.variable], option.variable
    return option.default, f"{option.flag} or {option.variable}"
