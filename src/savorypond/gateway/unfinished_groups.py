"""Keeps delegated groups of shards whose first answer left some of them out.

Answers the load of many slow backend servers: an answer that left too many shards out
is of no use to a caller, but the servers may answer before the caller's deadline. The
attempts go on for a moment, in which the instance that delegated the group may ask for
the rest.
"""

from dataclasses import dataclass

from curio import sleep, spawn

from savorypond.gateway.request_run import LINGER_TIME, RequestRun
from savorypond.gateway.run_types import RunSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupKey:
    """Identifies a delegated group.

    :param peer: IP address of the instance that delegated it.
    :param number: number of the group at that instance.
    """

    peer: str
    request_id: str
    number: int


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class UnfinishedGroup:
    """A group whose attempts go on."""

    run: RequestRun
    spec: RunSpec
    received: float


class UnfinishedGroups:
    """The unfinished groups of this instance."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, UnfinishedGroup] = {}

    async def keep(self, key: GroupKey, group: UnfinishedGroup) -> None:
        """Keep ``group`` until it is taken, for a moment only."""
        replaced = self._groups.get(key)
        if replaced is not None:
            await replaced.run.abandon(wait=0.0)
        self._groups[key] = group
        await spawn(self._expire, key, group, daemon=True)

    def take(self, key: GroupKey) -> UnfinishedGroup | None:
        """Remove and return the group, or return None if it has ended."""
        return self._groups.pop(key, None)

    async def _expire(self, key: GroupKey, group: UnfinishedGroup) -> None:
        await sleep(LINGER_TIME)
        if self._groups.get(key) is group:
            del self._groups[key]
            await group.run.abandon(wait=0.0)
