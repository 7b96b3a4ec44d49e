"""What became of the numbers of tickets, in two bits each."""

from dataclasses import dataclass
from enum import Enum

BLOCK_SIZE = 1024  # numbers


class TicketMark(Enum):
    """What is known of a number: whether it was sent, whether it is closed."""

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
    """Remembers which numbers were dispatched, ran, or were refused for good.

    Numbers are kept in blocks of bits. A block exists from the first mark in it
    until the last of its marks may be forgotten, so that a number never marked
    costs nothing.
    """

    def __init__(self) -> None:
        self._blocks: dict[int, _Block] = {}

    @property
    def size(self) -> int:
        """Bytes that the marks take."""
        return len(self._blocks) * 2 * BLOCK_SIZE // 8

    def mark(self, number: int, mark: TicketMark, *, forget_at: float) -> None:
        """Remember ``mark`` for ``number``, at least until ``forget_at`` seconds."""
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
        """Return what is remembered of ``number``."""
        block = self._blocks.get(number // BLOCK_SIZE)
        if block is None:
            return TicketMark.UNUSED
        bit = _bit(number)
        return TicketMark((bool(block.sent & bit), bool(block.closed & bit)))

    def forget(self, now: float) -> None:
        """Drop the blocks whose marks may all be forgotten."""
        ended = [i for i, block in self._blocks.items() if block.forget_at <= now]
        for index in ended:
            del self._blocks[index]


def _bit(number: int) -> int:
    return 1 << (number % BLOCK_SIZE)
