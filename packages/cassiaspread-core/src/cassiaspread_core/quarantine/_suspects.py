"""Suspect fingerprints as recorded by one daemon."""

from collections.abc import Iterable

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId, TargetId
from cassiaspread_core.quarantine._record import (
    Fingerprint,
    Loss,
    SuspectRecord,
    is_expired,
    merge_records,
)

MAX_RECORDS = 10_000


class SuspectTable:
    """Keeps suspect records until they expire.

    :param n_records: maximum number of records; those with the fewest losses that
        count are evicted first, the oldest among them.

    >>> table = SuspectTable()
    >>> loss = Loss("e1", "i1", 0, at_s=1.0)
    >>> table.record_loss("f", "osorno", "draft", loss).is_quarantined
    False
    >>> loss = Loss("e2", "i2", 0, at_s=2.0)
    >>> table.record_loss("f", "osorno", "draft", loss).is_quarantined
    True
    """

    def __init__(self, n_records: int = MAX_RECORDS) -> None:
        self._n_records = n_records
        self._records: dict[Fingerprint, SuspectRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return the record of a fingerprint, if there is one.

        :param fingerprint: the fingerprint.
        """
        return self._records.get(fingerprint)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a loss counts against a fingerprint.

        :param fingerprint: the fingerprint.
        """
        record = self._records.get(fingerprint)
        return record is not None and record.is_suspect

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with a fingerprint are refused.

        :param fingerprint: the fingerprint.
        """
        record = self._records.get(fingerprint)
        return record is not None and record.is_quarantined

    def targets_lost(self, fingerprint: Fingerprint) -> frozenset[TargetId]:
        """Return the targets whose losses count against a fingerprint.

        :param fingerprint: the fingerprint.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return frozenset()
        return frozenset(loss.target for loss in record.counted)

    def suspects(self) -> list[SuspectRecord]:
        """List all records, to be merged by peers."""
        return list(self._records.values())

    def quarantined(self) -> list[SuspectRecord]:
        """List the records of refused fingerprints."""
        return [r for r in self._records.values() if r.is_quarantined]

    def record_loss(
        self,
        fingerprint: Fingerprint,
        organisation: OrganisationId,
        subject: ModelId | ServiceId,
        loss: Loss,
    ) -> SuspectRecord:
        """Record the loss of a target with a request in flight.

        :param fingerprint: fingerprint of the request.
        :param organisation: organisation that sent the request.
        :param subject: requested model or service.
        :param loss: the loss of the target.
        :returns: the updated record.
        """
        record = SuspectRecord(
            fingerprint=fingerprint,
            organisation=organisation,
            subject=subject,
            losses=(loss,),
        )
        self.merge(record)
        return self._records[fingerprint]

    def merge(self, record: SuspectRecord) -> bool:
        """Merge a record from a peer or from the log.

        :param record: the record.
        :returns: whether the stored record changed.
        """
        current = self._records.get(record.fingerprint)
        merged = record if current is None else merge_records(current, record)
        if merged == current:
            return False
        self._records[record.fingerprint] = merged
        self._evict()
        return True

    def clear(self, fingerprint: Fingerprint, now_s: float) -> SuspectRecord | None:
        """Clear a fingerprint after a completed request or an operator's release.

        :param fingerprint: the fingerprint.
        :param now_s: current time, in seconds since the epoch.
        :returns: the updated record, ``None`` if the fingerprint was not suspect.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.is_suspect:
            return None
        # Not before the latest loss, since the clock of its observer may be ahead.
        cleared = msgspec.structs.replace(record, cleared_s=max(now_s, record.last_s))
        self._records[fingerprint] = cleared
        return cleared

    def refute(self, alive: Iterable[tuple[TargetId, str]]) -> list[SuspectRecord]:
        """Mark the losses of targets that have proved to be alive as refuted.

        :param alive: target and incarnation of each received report.
        :returns: the records that changed.
        """
        keys = frozenset(alive)
        changed = []
        for fingerprint, record in self._records.items():
            losses = tuple(
                msgspec.structs.replace(loss, refuted=True)
                if loss.key in keys
                else loss
                for loss in record.losses
            )
            if losses != record.losses:
                record = msgspec.structs.replace(record, losses=losses)
                self._records[fingerprint] = record
                changed.append(record)
        return changed

    def next_round(self, fingerprint: Fingerprint) -> int:
        """Return the round of a loss of a run that begins now.

        :param fingerprint: fingerprint of the request.
        """
        record = self._records.get(fingerprint)
        counted = () if record is None else record.counted
        return 1 + max((loss.round for loss in counted), default=0)

    def expire(
        self,
        now_s: float,
        lifetime_s: float,
        cleared_lifetime_s: float | None = None,
    ) -> list[SuspectRecord]:
        """Remove records older than the lifetime.

        :param now_s: current time, in seconds since the epoch.
        :param lifetime_s: age up to which a record is kept, in seconds.
        :param cleared_lifetime_s: the same for records without a loss that counts.
        :returns: the removed records.
        """
        if cleared_lifetime_s is None:
            cleared_lifetime_s = lifetime_s
        expired = [
            record
            for record in self._records.values()
            if is_expired(record, now_s, lifetime_s, cleared_lifetime_s)
        ]
        for record in expired:
            del self._records[record.fingerprint]
        return expired

    def _evict(self) -> None:
        if len(self._records) > self._n_records:
            evicted = min(
                self._records.values(), key=lambda r: (len(r.counted), r.last_s)
            )
            del self._records[evicted.fingerprint]
