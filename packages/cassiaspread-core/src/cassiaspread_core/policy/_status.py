"""Status report on the configuration of a daemon."""

import msgspec

from cassiaspread_core.base import Offset


class RejectedRecord(msgspec.Struct, frozen=True):
    """A record that was not accepted.

    :param offset: offset of the record.
    :param reason: why it was not accepted.
    """

    offset: Offset
    reason: str


class PolicyStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the configuration of a daemon.

    :param next_offset: offset after the last record that the daemon applied.
    :param known_offset: highest ``next_offset`` of this daemon and those reported by
        other daemons.
    :param last_accepted: offset of the latest accepted entry, if any.
    :param digest: hash, equal for daemons that accepted the same records.
    :param rules: version of the rules in force.
    :param known_rules: latest version of the rules that the release supports.
    :param is_current: whether the daemon has applied all published records at least
        once since its start.
    :param source: source of the latest records: ``log``, ``peer`` or ``checkpoint``;
        empty before the first.
    :param log_error: error of the last read of the log, empty if it succeeded.
    :param reasons: reasons in the configuration for which the daemon is not ready.
    :param n_accepted: number of records accepted since the start.
    :param n_rejected: number of records rejected since the start, because of a
        conflict or a violation of the rules.
    :param n_skipped: number of records skipped since the start because they could not
        be decoded.
    :param rejected: the latest rejected and skipped records, oldest first.
    """

    next_offset: Offset
    known_offset: Offset
    last_accepted: Offset | None
    digest: str
    rules: int
    known_rules: int
    is_current: bool
    source: str
    log_error: str
    reasons: tuple[str, ...]
    n_accepted: int
    n_rejected: int
    n_skipped: int
    rejected: tuple[RejectedRecord, ...]
