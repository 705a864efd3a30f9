"""Marks of targets that take no new work; final for the incarnation they name."""

from collections.abc import Iterator

import msgspec

from cassiaspread_core.base import TargetId, VmId

MAX_MARKS_PER_TARGET = 8


class LeavingMark(msgspec.Struct, frozen=True, array_like=True, order=True):
    """States that one incarnation of a target takes no new work.

    :param target: the target.
    :param incarnation: the incarnation that is leaving.
    :param vm: for a mark from the VM list: the VM that is listed as leaving. The
        mark is void once the list shows the target on another VM.
    :param source: origin of the mark: ``target``, ``list`` or ``operator``.
    """

    target: TargetId
    incarnation: str
    vm: VmId | None = None
    source: str = "target"


class LeavingMarks:
    """Leaving marks of all targets; only the oldest beyond a limit are removed.

    >>> marks = LeavingMarks()
    >>> marks.add(LeavingMark("e1", "i1"))
    True
    >>> marks.add(LeavingMark("e1", "i1"))
    False
    >>> marks.is_leaving("e1", "i1"), marks.is_leaving("e1", "i2")
    (True, False)
    """

    def __init__(self) -> None:
        self._marks: dict[TargetId, dict[LeavingMark, None]] = {}

    def __iter__(self) -> Iterator[LeavingMark]:
        for marks in self._marks.values():
            yield from marks

    def add(self, mark: LeavingMark) -> bool:
        """Add a mark.

        :param mark: the mark.
        :returns: whether it is new.
        """
        marks = self._marks.setdefault(mark.target, {})
        if mark in marks:
            return False
        marks[mark] = None
        if len(marks) > MAX_MARKS_PER_TARGET:
            del marks[next(iter(marks))]
        return True

    def has_list_mark(self, target: TargetId, vm: VmId | None) -> bool:
        """Return whether a mark from the VM list for a target and a VM is present.

        :param target: the target.
        :param vm: the VM.
        """
        return any(
            mark.vm == vm and mark.source == "list"
            for mark in self._marks.get(target, ())
        )

    def is_leaving(
        self, target: TargetId, incarnation: str, listed_vm: VmId | None = None
    ) -> bool:
        """Return whether an incarnation of a target takes no new work.

        :param target: the target.
        :param incarnation: the incarnation.
        :param listed_vm: VM of the target in the VM list, if it is listed.
        """
        return any(
            mark.incarnation == incarnation
            and (mark.vm is None or listed_vm is None or mark.vm == listed_vm)
            for mark in self._marks.get(target, ())
        )
