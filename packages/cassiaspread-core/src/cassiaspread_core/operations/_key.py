"""Report on the state of an idempotency key."""

import msgspec


class KeyReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a key according to a daemon and the claims log.

    :param organisation: organisation that uses the key.
    :param key: the key.
    :param partition: partition of the claims log that contains the records of the key.
    :param state: ``free``, ``held``, ``answered`` or ``outcome-unknown``.
    :param claim: claim that holds the key, if any.
    :param is_holder_live: whether the daemon of the holder is alive or leaving in the
        membership view.
    :param status: HTTP status of the target's answer, if any.
    :param n_void_claims: number of claims that lost or were abandoned.
    :param is_current: whether the daemon could read the partition to its end for
        this report.
    :param is_judged: whether all records of the key were read or are still in the
        log.
    """

    organisation: str
    key: str
    partition: int
    state: str
    claim: str | None
    is_holder_live: bool
    status: int | None
    n_void_claims: int
    is_current: bool
    is_judged: bool
