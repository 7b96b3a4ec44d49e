"""State machine of one non-idempotent call: when to send it and how it ends."""

from enum import Enum, auto
from typing import Protocol

from savorypond.balancing.pool import ConnectionOutcome
from savorypond.calls.events import (
    Acquire,
    Acquired,
    Action,
    Answered,
    CallerGone,
    ConnectionLost,
    Event,
    Finish,
    NotAcquired,
    Probe,
    Probed,
    ReleaseConnection,
    ReportedNotRun,
    Result,
    Tick,
    Write,
)
from savorypond.calls.ledger import TicketLedger
from savorypond.calls.tickets import Refusal, Ticket
from savorypond.membership.pause import PauseDetector
from savorypond.reasons import Execution, RefusalReason

MAX_WRITES = 3  # times that one call may be sent
MAX_ACQUIRES = 6  # attempts of one call to acquire a connection


class LeavingServers(Protocol):
    """Tells which backend servers must not get new work."""

    def is_leaving(self, server: str) -> bool:
        """Return whether the backend server ``server`` is leaving."""


class _State(Enum):
    ACQUIRING = auto()
    PROBING = auto()
    WRITTEN = auto()
    DONE = auto()


class CallStateMachine:
    """Runs the call of one claimed ticket.

    Immediately before each write it checks again what may have changed during the
    wait: a pause of this process, the deadline, the validity of the ticket, whether
    the backend server is leaving, and whether the connection is alive. Once the
    first byte may have been sent, the request is sent again only if the backend
    server itself reports that it did not run.

    :param deadline: monotonic seconds by which the caller must have its answer.
    :param min_time: seconds below which a write is not worth starting.
    """

    def __init__(
        self,
        *,
        ticket: Ticket,
        deadline: float,
        ledger: TicketLedger,
        pause: PauseDetector,
        servers: LeavingServers,
        min_time: float = 0.001,
        max_writes: int = MAX_WRITES,
    ) -> None:
        self._ticket = ticket
        self._deadline = deadline
        self._ledger = ledger
        self._pause = pause
        self._servers = servers
        self._min_time = min_time
        self._writes_left = max_writes
        self._acquires_left = MAX_ACQUIRES
        self._state = _State.ACQUIRING
        self._server = ""
        self._tried: frozenset[str] = frozenset()
        self._last_refusal = _no_server_refusal(None)
        self._refused_by_server = False

    @property
    def done(self) -> bool:
        """Whether the call has ended."""
        return self._state is _State.DONE

    @property
    def deadline(self) -> float:
        """Monotonic seconds by which the caller must have its answer."""
        return self._deadline

    def start(self, *, now: float) -> tuple[Action, ...]:
        """Return the first actions."""
        return self._acquire(now)

    def handle(self, event: Event, *, now: float) -> tuple[Action, ...]:
        """Process ``event`` and return the actions to take, in order.

        Events that come after the end or do not fit the state, such as the late
        answer of an abandoned probe, change nothing.
        """
        match (self._state, event):
            case (_State.DONE, Acquired()):
                return (ReleaseConnection(outcome=ConnectionOutcome.UNUSED),)
            case (_State.DONE, _):
                return ()
            case (_State.WRITTEN, _):
                return self._on_written(event, now)
            case (_, Tick()):
                return self._on_waiting_tick(now)
            case (_, CallerGone()):
                return self._on_caller_gone()
            case (_State.ACQUIRING, Acquired(server=server, verified=verified)):
                self._server = server
                return self._probe_or_write(verified, now)
            case (_State.ACQUIRING, NotAcquired()):
                return self._on_not_acquired(event, now)
            case (_State.PROBING, Probed(alive=True)):
                return self._write(now)
            case (_State.PROBING, Probed()):
                return (
                    ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT),
                    *self._acquire(now),
                )
            case (_State.PROBING, ConnectionLost()):
                return (
                    ReleaseConnection(outcome=ConnectionOutcome.CLOSED),
                    *self._acquire(now),
                )
        return ()

    def abandon(self) -> None:
        """End a call whose task is cancelled; no effect if it has already ended.

        A ticket that was not used can be claimed again; one that was sent stays
        unresolved, and one that a server refused is closed. The task must then close
        any connection that it acquired.
        """
        if self._state is _State.WRITTEN:
            self._ledger.record_loss(self._ticket)
        elif self._state is not _State.DONE:
            self._release_claim()
        self._state = _State.DONE

    def _acquire(self, now: float) -> tuple[Action, ...]:
        if self._time_left(now) < self._min_time:
            return self._refuse(_too_late_refusal(self._last_refusal))
        if self._acquires_left == 0:
            return self._refuse(self._last_refusal)
        self._acquires_left -= 1
        self._state = _State.ACQUIRING
        return (Acquire(tried=self._tried),)

    def _on_not_acquired(self, event: NotAcquired, now: float) -> tuple[Action, ...]:
        self._last_refusal = _no_server_refusal(event.retry_after)
        if not event.server:
            return self._refuse(self._last_refusal)
        self._tried |= {event.server}
        return self._acquire(now)

    def _probe_or_write(self, verified: bool, now: float) -> tuple[Action, ...]:
        if verified:
            return self._write(now)
        self._state = _State.PROBING
        return (Probe(),)

    def _write(self, now: float) -> tuple[Action, ...]:
        self._pause.observe(now)
        unused = ReleaseConnection(outcome=ConnectionOutcome.UNUSED)
        if self._time_left(now) < self._min_time:
            return (unused, *self._refuse(_too_late_refusal(self._last_refusal)))
        if self._servers.is_leaving(self._server):
            self._tried |= {self._server}
            self._last_refusal = _leaving_refusal(self._server)
            return (unused, *self._acquire(now))
        refusal = self._ledger.try_dispatch(self._ticket, now=now)
        if refusal is not None:
            return (unused, *self._refuse(refusal))
        self._state = _State.WRITTEN
        self._writes_left -= 1
        return (Write(time_left=self._time_left(now)),)

    def _on_written(self, event: Event, now: float) -> tuple[Action, ...]:
        match event:
            case Result(result=result):
                self._ledger.record_result(self._ticket, result)
                return self._end(ConnectionOutcome.ANSWERED, Answered(result=result))
            case ReportedNotRun():
                return self._on_reported_not_run(event, now)
            case ConnectionLost():
                self._ledger.record_loss(self._ticket)
                return self._end(ConnectionOutcome.CLOSED, _CONNECTION_LOST)
            case Tick() if now >= self._deadline:
                self._ledger.record_loss(self._ticket)
                return self._end(ConnectionOutcome.TIMED_OUT, _TIMED_OUT)
        return ()

    def _on_reported_not_run(
        self, event: ReportedNotRun, now: float
    ) -> tuple[Action, ...]:
        self._ledger.record_not_run(self._ticket)
        self._refused_by_server = True
        self._tried |= {self._server}
        self._last_refusal = _shed_refusal(self._server, event.retry_after)
        answered = ReleaseConnection(outcome=ConnectionOutcome.ANSWERED)
        if self._writes_left == 0:
            return (answered, *self._refuse(self._last_refusal))
        return (answered, *self._acquire(now))

    def _on_waiting_tick(self, now: float) -> tuple[Action, ...]:
        if now < self._deadline:
            return ()
        return (
            *self._abort_probe(),
            *self._refuse(_too_late_refusal(self._last_refusal)),
        )

    def _on_caller_gone(self) -> tuple[Action, ...]:
        aborted = self._abort_probe()
        self._release_claim()
        self._state = _State.DONE
        return (*aborted, Finish(outcome=_CALLER_GONE))

    def _abort_probe(self) -> tuple[Action, ...]:
        if self._state is _State.PROBING:
            return (ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT),)
        return ()

    def _release_claim(self) -> None:
        """Leave the ticket open, unless a backend server has refused the call.

        Every attempt at a ticket has the same id, so a late copy of that refusal would
        be taken for the answer to the next attempt.
        """
        if self._refused_by_server:
            self._ledger.refuse(self._ticket, self._last_refusal)
        else:
            self._ledger.release_claim(self._ticket)

    def _refuse(self, refusal: Refusal) -> tuple[Action, ...]:
        self._state = _State.DONE
        return (Finish(outcome=self._ledger.refuse(self._ticket, refusal)),)

    def _end(
        self, connection_outcome: ConnectionOutcome, outcome: Answered | Refusal
    ) -> tuple[Action, ...]:
        self._state = _State.DONE
        return (ReleaseConnection(outcome=connection_outcome), Finish(outcome=outcome))

    def _time_left(self, now: float) -> float:
        return self._deadline - now


def _no_server_refusal(retry_after: float | None) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_BACKEND_SERVER,
        execution=Execution.NOT_RUN,
        detail="no backend server of the service can be reached",
        retry_after=retry_after,
    )


def _leaving_refusal(server: str) -> Refusal:
    return Refusal(
        reason=RefusalReason.SERVER_LEAVING,
        execution=Execution.NOT_RUN,
        detail=f"backend server {server} is leaving",
    )


def _shed_refusal(server: str, retry_after: float | None) -> Refusal:
    return Refusal(
        reason=RefusalReason.SHED,
        execution=Execution.NOT_RUN,
        detail=f"backend server {server} shed the call without running it",
        retry_after=retry_after,
    )


def _too_late_refusal(last_refusal: Refusal) -> Refusal:
    return Refusal(
        reason=RefusalReason.TIME_TOO_SHORT,
        execution=Execution.NOT_RUN,
        detail=f"no time left to send the call; last problem: {last_refusal.detail}",
    )


_CALLER_GONE = Refusal(
    reason=RefusalReason.CALLER_GONE,
    execution=Execution.NOT_RUN,
    detail="the caller closed its connection before the call was sent",
)
_CONNECTION_LOST = Refusal(
    reason=RefusalReason.CONNECTION_LOST,
    execution=Execution.UNKNOWN,
    detail="the call was sent, but the connection was lost before its answer",
)
_TIMED_OUT = Refusal(
    reason=RefusalReason.TIMED_OUT,
    execution=Execution.UNKNOWN,
    detail="the call was sent, but no answer arrived in time",
)
