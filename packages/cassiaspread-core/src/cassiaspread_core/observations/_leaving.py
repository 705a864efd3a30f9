"""Marks of targets that take no new work; final for the start that they name."""

from collections.abc import Iterator

import msgspec

from cassiaspread_core.base import TargetId, VmId

MAX_MARKS_PER_TARGET = 8


class LeavingMark(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Says that one start of a target takes no new work.

    :param target: the target.
    :param incarnation: the start that leaves.
    :param vm: for a mark that stems from the VM list: the VM that is listed as
        leaving. The mark is void once the list shows the target on another VM.
    :param source: who said so first: ``target``, ``list`` or ``operator``.
    """

    target: TargetId
    incarnation: str
    vm: VmId | None = None
    source: str = "target"


class LeavingMarks:
    """The marks that this daemon knows; they are only ever added.

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
        """Take in a mark.

        :param mark: the mark.
        :returns: whether it is news.
        """
        marks = self._marks.setdefault(mark.target, {})
        if mark in marks:
            return False
        marks[mark] = None
        if len(marks) > MAX_MARKS_PER_TARGET:
            del marks[next(iter(marks))]
        return True

    def has_listed(self, target: TargetId, vm: VmId | None) -> bool:
        """Return whether the list's word on a target and a VM is already known.

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
        """Return whether a start of a target takes no new work.

        :param target: the target.
        :param incarnation: the start.
        :param listed_vm: VM on which the list shows the target, if it does.
        """
        return any(
            mark.incarnation == incarnation
            and (mark.vm is None or listed_vm is None or mark.vm == listed_vm)
            for mark in self._marks.get(target, ())
        )
