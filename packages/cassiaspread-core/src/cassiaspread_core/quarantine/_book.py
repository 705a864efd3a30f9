"""All fingerprints under suspicion, as one daemon knows them."""

from collections.abc import Iterable

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId, TargetId
from cassiaspread_core.quarantine._record import (
    Fingerprint,
    Loss,
    SuspectRecord,
    merge_records,
)

MAX_RECORDS = 10_000


class SuspectBook:
    """Keeps suspect records until they expire.

    :param n_records: most records kept; the oldest make room for newer ones.

    >>> book = SuspectBook()
    >>> loss = Loss("e1", "i1", 0, at_s=1.0)
    >>> book.note_loss("f", "osorno", "draft", loss).is_quarantined
    False
    >>> loss = Loss("e2", "i2", 0, at_s=2.0)
    >>> book.note_loss("f", "osorno", "draft", loss).is_quarantined
    True
    """

    def __init__(self, n_records: int = MAX_RECORDS) -> None:
        self._n_records = n_records
        self._records: dict[Fingerprint, SuspectRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return what is known of a fingerprint.

        :param fingerprint: the fingerprint.
        """
        return self._records.get(fingerprint)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a target was lost under a fingerprint.

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
        """Return the targets that were lost under a fingerprint.

        :param fingerprint: the fingerprint.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return frozenset()
        return frozenset(loss.target for loss in record.counted)

    def suspects(self) -> list[SuspectRecord]:
        """List the records that say anything, for peers to merge."""
        return list(self._records.values())

    def quarantined(self) -> list[SuspectRecord]:
        """List the records of refused fingerprints."""
        return [r for r in self._records.values() if r.is_quarantined]

    def note_loss(
        self,
        fingerprint: Fingerprint,
        organisation: OrganisationId,
        subject: ModelId | ServiceId,
        loss: Loss,
    ) -> SuspectRecord:
        """Take in that a target died with a request in flight.

        :param fingerprint: fingerprint of the request.
        :param organisation: who asked.
        :param subject: model or service asked for.
        :param loss: the target's death.
        :returns: the record afterwards.
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
        """Take in what a peer or the log says.

        :param record: the record.
        :returns: whether anything is new.
        """
        known = self._records.get(record.fingerprint)
        merged = record if known is None else merge_records(known, record)
        if merged == known:
            return False
        self._records[record.fingerprint] = merged
        self._make_room()
        return True

    def clear(self, fingerprint: Fingerprint, now_s: float) -> SuspectRecord | None:
        """Drop the suspicion: a request completed, or an operator released it.

        :param fingerprint: the fingerprint.
        :param now_s: current time, in seconds since the epoch.
        :returns: the record afterwards, ``None`` if there was no suspicion.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.is_suspect:
            return None
        # Not before the latest loss, whose observer's clock may be ahead.
        cleared = msgspec.structs.replace(record, cleared_s=max(now_s, record.last_s))
        self._records[fingerprint] = cleared
        return cleared

    def refute(self, alive: Iterable[tuple[TargetId, str]]) -> list[SuspectRecord]:
        """Drop losses of targets that are alive after all.

        :param alive: target and incarnation of each report that came.
        :returns: the records that changed.
        """
        seen = frozenset(alive)
        changed = []
        for fingerprint, record in self._records.items():
            losses = tuple(
                msgspec.structs.replace(loss, refuted=True)
                if loss.key in seen
                else loss
                for loss in record.losses
            )
            if losses != record.losses:
                record = msgspec.structs.replace(record, losses=losses)
                self._records[fingerprint] = record
                changed.append(record)
        return changed

    def expire(self, now_s: float, lifetime_s: float) -> list[SuspectRecord]:
        """Forget what is older than the lifetime.

        :param now_s: current time, in seconds since the epoch.
        :param lifetime_s: age up to which a record counts, in seconds.
        :returns: the records forgotten.
        """
        expired = [
            record
            for record in self._records.values()
            if record.last_s < now_s - lifetime_s
        ]
        for record in expired:
            del self._records[record.fingerprint]
        return expired

    def _make_room(self) -> None:
        if len(self._records) > self._n_records:
            oldest = min(self._records.values(), key=lambda record: record.last_s)
            del self._records[oldest.fingerprint]
