"""Identifier types."""

from typing import NewType

from cassiaspread_core.base._decode import Count

VmId = NewType("VmId", str)
DomainId = NewType("DomainId", str)
TargetId = NewType("TargetId", str)
OrganisationId = NewType("OrganisationId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
RequestId = NewType("RequestId", str)
# Names one part of a prompt, which requests have in common.
PromptPartId = NewType("PromptPartId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

# Identifies one start of a process; a restarted daemon has a new one.
Incarnation = NewType("Incarnation", str)

# Position of a record in a stream of the platform's append-only log.
Offset = NewType("Offset", Count)
