"""Marks of what became of each ticket number, in two bits each."""

from dataclasses import dataclass
from enum import Enum

BLOCK_SIZE = 1024  # numbers


class TicketMark(Enum):
    """The state of a number: whether it was sent and whether it is closed."""

    UNUSED = (False, False)
    DISPATCHED = (True, False)
    RAN = (True, True)
    REFUSED = (False, True)


@dataclass(slots=True, kw_only=True)
class _Block:
    forget_at: float
    sent: int = 0
    closed: int = 0


class TicketMarks:
    """Records which numbers were dispatched, ran, or were permanently refused.

    The marks are stored in blocks of bits. A block exists from its first mark until
    all of its marks have expired, so that numbers without a mark cost nothing.
    """

    def __init__(self) -> None:
        self._blocks: dict[int, _Block] = {}

    @property
    def size(self) -> int:
        """Size of the marks in bytes."""
        return len(self._blocks) * 2 * BLOCK_SIZE // 8

    def mark(self, number: int, mark: TicketMark, *, forget_at: float) -> None:
        """Record ``mark`` for ``number``, at least until ``forget_at`` in seconds."""
        block = self._blocks.get(number // BLOCK_SIZE)
        if block is None:
            block = _Block(forget_at=forget_at)
            self._blocks[number // BLOCK_SIZE] = block
        block.forget_at = max(block.forget_at, forget_at)
        sent, closed = mark.value
        bit = _bit(number)
        block.sent = block.sent | bit if sent else block.sent & ~bit
        block.closed = block.closed | bit if closed else block.closed & ~bit

    def read(self, number: int) -> TicketMark:
        """Return the mark of ``number``."""
        block = self._blocks.get(number // BLOCK_SIZE)
        if block is None:
            return TicketMark.UNUSED
        bit = _bit(number)
        return TicketMark((bool(block.sent & bit), bool(block.closed & bit)))

    def prune(self, now: float) -> None:
        """Drop the blocks whose marks have all expired."""
        expired = [i for i, block in self._blocks.items() if block.forget_at <= now]
        for index in expired:
            del self._blocks[index]


def _bit(number: int) -> int:
    return 1 << (number % BLOCK_SIZE)
