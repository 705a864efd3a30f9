"""What a daemon reports of its configuration."""

import msgspec

from cassiaspread_core.base import Offset


class RejectedRecord(msgspec.Struct, frozen=True):
    """A record that is not in force.

    :param offset: its position.
    :param reason: why it is not.
    """

    offset: Offset
    reason: str


class PolicyStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon's configuration.

    :param next_offset: offset up to which, exclusively, all records are in force.
    :param known_offset: highest such offset that it heard of.
    :param last_accepted: offset of the latest accepted entry, if any.
    :param digest: equal for daemons that have the same records in force.
    :param rules: version of the rules in force.
    :param known_rules: latest version that its release knows.
    :param is_current: whether it once had all that was published.
    :param source: where its latest records came from: ``log``, ``peer`` or
        ``checkpoint``; empty before the first.
    :param log_error: why the log could not be read last, empty while it can.
    :param reasons: why it is not ready, as far as the configuration goes.
    :param n_accepted: records accepted since its start.
    :param n_rejected: valid records that lost or broke the rules, since its start.
    :param n_skipped: records that were no records, since its start.
    :param rejected: the latest of both, oldest first.
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
