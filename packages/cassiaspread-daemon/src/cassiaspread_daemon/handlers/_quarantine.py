"""Operator endpoints for quarantined requests."""

import msgspec

from cassiaspread_core.base import MalformedDocument, Refusal, decode_json
from cassiaspread_core.operations import QuarantineReport
from cassiaspread_core.quarantine import Fingerprint
from cassiaspread_daemon.handlers._base import OperatorHandler


class ReleaseBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operators/quarantine/release``."""

    fingerprint: str


class QuarantineHandler(OperatorHandler):
    """``GET /operators/quarantine``: suspect and quarantined fingerprints."""

    def get(self) -> None:
        """Answer with the records of suspects, quarantined ones first."""
        records = [
            record
            for record in self.node.quarantine.exchange.suspect_table.suspects()
            if record.is_suspect
        ]
        records.sort(key=lambda record: (not record.is_quarantined, -record.last_s))
        listing = QuarantineReport(
            tuple(r for r in records if r.is_quarantined),
            tuple(r for r in records if not r.is_quarantined),
        )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(listing))


class ReleaseHandler(OperatorHandler):
    """``POST /operators/quarantine/release``: release a fingerprint."""

    async def post(self) -> None:
        """Release the fingerprint at all daemons and answer with its record."""
        try:
            body = decode_json(self.body, ReleaseBody)
        except MalformedDocument as error:
            raise Refusal(400, "bad-body", f"{error}.") from None
        fingerprint = Fingerprint(body.fingerprint)
        record = await self.node.quarantine.release(fingerprint)
        if record is None:
            raise Refusal(
                404, "unknown-fingerprint", "The fingerprint is not under suspicion."
            )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(record))
