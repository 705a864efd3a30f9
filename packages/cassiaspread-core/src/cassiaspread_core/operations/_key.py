"""What became of an idempotency key."""

import msgspec


class KeyReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon and the log know of a key.

    :param organisation: whose key it is.
    :param key: the key.
    :param partition: partition of the claims log that decides on it.
    :param state: ``free``, ``held``, ``answered`` or ``outcome-unknown``.
    :param claim: claim that holds the key.
    :param is_holder_live: whether the holder's daemon was heard of lately.
    :param status: status of the target's answer.
    :param n_void_claims: claims that lost or were abandoned.
    :param is_current: whether the partition could be read to its end just now.
    :param is_judged: whether the log still keeps all records of the key.
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
