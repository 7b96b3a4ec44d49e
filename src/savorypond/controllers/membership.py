"""Input and output for :class:`Membership`: datagrams and the instance list."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Protocol, Self

from absl.logging import exception as log_exception, warning
from curio import Event, TaskGroup, TaskTimeout, sleep
from curio.socket import AF_INET, AF_INET6, SOCK_DGRAM, socket

from savorypond.clock import Clock
from savorypond.exceptions import DatagramError, SavorypondError
from savorypond.membership.membership import Membership
from savorypond.membership.settings import (
    ConfigMismatch,
    MemberAction,
    MembershipSettings,
    Send,
)
from savorypond.membership.wire import MAX_DATAGRAM, decode, encode
from savorypond.model import Address, Counters, Instance, InstanceState
from savorypond.reasons import DatagramReason, InstanceListReason
from savorypond.timeouts import ignore_after, timeout_after

DATAGRAMS = "member_datagrams"  # counter, by DatagramReason
DATAGRAM_BYTES = "member_datagram_bytes"  # counter of bytes sent and received
LIST_READS = "instance_list_reads"  # counter, by InstanceListReason
DATAGRAMS_PER_TURN = 32  # received before other tasks may run
RECEIVE_RETRY_DELAY = 0.1  # seconds until the next receive after a socket error


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which may lag."""

    async def fetch(self) -> Sequence[Instance]:
        """Return the listed instances.

        :raises SavorypondError: the list could not be read.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """One peer as shown on the status page.

    :param silent_for: seconds since the last datagram from the peer itself, or None.
    """

    name: str
    data_centre: str
    address: Address
    incarnation: int
    state: InstanceState
    silent_for: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipStatus:
    """What this instance believes about itself and its peers."""

    local_instance: Instance
    may_own: bool
    local_health_score: int
    unreachable: tuple[str, ...]
    members: tuple[MemberStatus, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTimes:
    """Intervals and time limits of the controller, in seconds.

    :param tick_interval: between two ticks of the membership.
    :param list_interval: mean time between two reads of the platform's list.
    :param list_spacing: lower bound on the mean time between two reads of the list
        over the whole fleet.
    :param list_retry: mean time until the next read after a failed one.
    :param list_timeout: time limit of one read.
    """

    tick_interval: float = 0.1
    list_interval: float = 3.0
    list_spacing: float = 0.07
    list_retry: float = 2.0
    list_timeout: float = 5.0


class MembershipController:
    """Owns the datagram socket and the :class:`Membership` of one instance.

    :param address: where peers reach this instance; with port 0 a free port is
        chosen on entry.
    :param incarnation: nanoseconds of the wall clock at the start.
    :param on_config_mismatch: called, not awaited, for each peer that has another
        configuration.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        address: Address,
        incarnation: int,
        fleet: str,
        instance_list: InstanceList,
        clock: Clock,
        rng: Random,
        counters: Counters,
        on_config_mismatch: Callable[[ConfigMismatch], None] | None = None,
        settings: MembershipSettings | None = None,
        times: MembershipTimes | None = None,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._address = address
        self._incarnation = incarnation
        self._fleet = fleet
        self._instance_list = instance_list
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._on_config_mismatch = on_config_mismatch
        self._settings = settings
        self._times = times or MembershipTimes()
        self._tasks = TaskGroup()
        self._list_available = Event()

    @property
    def membership(self) -> Membership:
        """The membership protocol; available once the context is entered."""
        return self._membership

    @property
    def counters(self) -> Counters:
        """The counters of this controller."""
        return self._counters

    @property
    def status(self) -> MembershipStatus:
        """What this instance believes about itself and its peers now."""
        now = self._clock.now()
        membership = self._membership
        return MembershipStatus(
            local_instance=membership.local_instance,
            may_own=membership.may_own(now),
            local_health_score=membership.local_health_score,
            unreachable=tuple(sorted(membership.unreachable)),
            members=tuple(self._member_statuses(now)),
        )

    async def __aenter__(self) -> Self:
        host = self._address.host
        self._socket = socket(AF_INET6 if ":" in host else AF_INET, SOCK_DGRAM)
        try:
            self._socket.bind((host, self._address.port))
        except OSError:
            await self._socket.close()
            raise
        self._membership = self._build_membership()
        await self._tasks.spawn(self._run_receiver)
        await self._tasks.spawn(self._run_ticks)
        await self._tasks.spawn(self._run_list_reader)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._tasks.cancel_remaining()
        await self._socket.close()

    async def wait_for_list(self, *, seconds: float) -> bool:
        """Wait up to ``seconds`` for the first list; return whether it was read."""
        async with ignore_after(seconds):
            await self._list_available.wait()
        return bool(self._list_available.is_set())

    async def leave(self) -> None:
        """Announce to peers that this instance is leaving."""
        await self._execute(self._membership.leave(self._clock.now()))

    async def resumed(self, gap: float) -> None:
        """Rejoin after a pause of ``gap`` seconds."""
        await self._execute(self._membership.resumed(gap, self._clock.now()))

    def _build_membership(self) -> Membership:
        port: int = self._socket.getsockname()[1]
        local_instance = Instance(
            name=self._name,
            data_centre=self._data_centre,
            peer_address=Address(host=self._address.host, port=port),
            incarnation=self._incarnation,
        )
        return Membership(
            local_instance=local_instance,
            now=self._clock.now(),
            rng=self._rng,
            settings=self._settings,
        )

    def _member_statuses(self, now: float) -> list[MemberStatus]:
        return [
            MemberStatus(
                name=member.name,
                data_centre=member.data_centre,
                address=member.address,
                incarnation=member.update.incarnation,
                state=member.state,
                silent_for=member.silent_for(now),
            )
            for member in self._membership.members
        ]

    async def _run_ticks(self) -> None:
        while True:
            await self._execute(self._membership.tick(self._clock.now()))
            await sleep(self._times.tick_interval)

    async def _run_receiver(self) -> None:
        while True:
            for _ in range(DATAGRAMS_PER_TURN):
                await self._receive()
            await sleep(0)

    async def _receive(self) -> None:
        try:
            data, source = await self._socket.recvfrom(MAX_DATAGRAM + 1)
        except OSError:
            self._counters.add(DATAGRAMS, DatagramReason.RECEIVE_FAILED)
            await sleep(RECEIVE_RETRY_DELAY)
            return
        sender = Address(host=source[0], port=source[1])
        try:
            packet = decode(data, fleet=self._fleet, source=sender)
        except DatagramError as error:
            self._counters.add(DATAGRAMS, error.reason)
            return
        self._count(DatagramReason.RECEIVED, len(data))
        now = self._clock.now()
        try:
            actions = self._membership.received(packet, sender, now)
        except Exception:
            # One message must not end the task that receives all others.
            log_exception("a datagram from %s could not be handled", sender)
            self._counters.add(DATAGRAMS, DatagramReason.MALFORMED)
            return
        await self._execute(actions)

    async def _run_list_reader(self) -> None:
        while True:
            read = await self._read_list()
            delay = self._mean_list_delay() if read else self._times.list_retry
            await sleep(delay * self._rng.uniform(0.5, 1.5))

    def _mean_list_delay(self) -> float:
        """Return the mean seconds until the next read, longer in a larger fleet."""
        fleet_interval = self._membership.fleet_size * self._times.list_spacing
        return max(self._times.list_interval, fleet_interval)

    async def _read_list(self) -> bool:
        try:
            async with timeout_after(self._times.list_timeout):
                instances = await self._instance_list.fetch()
        except TaskTimeout:
            self._counters.add(LIST_READS, InstanceListReason.TIMED_OUT)
            return False
        except (SavorypondError, OSError) as error:
            self._counters.add(LIST_READS, InstanceListReason.FAILED)
            warning("cannot read the list of instances: %s", error)
            return False
        self._counters.add(LIST_READS, InstanceListReason.READ)
        await self._execute(
            self._membership.list_received(instances, self._clock.now())
        )
        await self._list_available.set()
        return True

    async def _execute(self, actions: Sequence[MemberAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    await self._send(action)
                case ConfigMismatch():
                    if self._on_config_mismatch is not None:
                        self._on_config_mismatch(action)

    async def _send(self, action: Send) -> None:
        target = (action.address.host, action.address.port)
        try:
            data = encode(action.packet, fleet=self._fleet)
            await self._socket.sendto(data, target)
        except (OSError, ValueError):
            self._counters.add(DATAGRAMS, DatagramReason.SEND_FAILED)
            return
        self._count(DatagramReason.SENT, len(data))

    def _count(self, reason: DatagramReason, size: int) -> None:
        self._counters.add(DATAGRAMS, reason)
        self._counters.add(DATAGRAM_BYTES, reason, size)
