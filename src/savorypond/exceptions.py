"""The exceptions of savorypond. Each message names what failed."""

from savorypond.reasons import DatagramReason, Execution, RefusalReason


class SavorypondError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(SavorypondError):
    """A settings file is invalid."""

    def __init__(self, *, path: str, field: str, problem: str) -> None:
        super().__init__(f"{path}: {field}: {problem}")
        self.path = path
        self.field = field
        self.problem = problem


class ServiceFileError(SavorypondError):
    """A service file is invalid.

    :param line: line in the file, counted from 1, or 0 if none applies.
    """

    def __init__(self, *, path: str, line: int, field: str, problem: str) -> None:
        where = f"{path}:{line}" if line else path
        super().__init__(f"{where}: {field}: {problem}")
        self.path = path
        self.line = line
        self.field = field
        self.problem = problem


class BundleError(SavorypondError):
    """A bundle is invalid."""

    def __init__(self, *, revision: int, problem: str) -> None:
        super().__init__(f"bundle revision {revision}: {problem}")
        self.revision = revision
        self.problem = problem


class WireError(SavorypondError):
    """A message from another process cannot be decoded."""

    def __init__(self, *, sender: str, problem: str) -> None:
        super().__init__(f"message from {sender}: {problem}")
        self.sender = sender
        self.problem = problem


class RequestRefused(SavorypondError):  # noqa: N818
    """A caller's request is refused.

    :param execution: whether any of the work may have run.
    :param retry_after: seconds after which a retry may succeed, or None if a
        retry of the same request cannot.
    :param retry_from: seconds before which it certainly cannot.
    """

    def __init__(
        self,
        *,
        reason: RefusalReason,
        detail: str,
        execution: Execution = Execution.NOT_RUN,
        retry_after: float | None = None,
        retry_from: float = 0.0,
    ) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail
        self.execution = execution
        self.retry_after = retry_after
        self.retry_from = retry_from


class BackendServerError(SavorypondError):
    """An attempt at a backend server failed.

    :param sent: whether any byte of the request may have been sent.
    """

    def __init__(self, *, server: str, problem: str, sent: bool) -> None:
        super().__init__(f"backend server {server}: {problem}")
        self.server = server
        self.problem = problem
        self.sent = sent


class ResponseError(SavorypondError):
    """Data received, or a response to be sent, is no complete HTTP/1.1 response."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class MixedAnswersError(SavorypondError):
    """Answers of different requests, snapshots or layouts cannot be merged."""

    def __init__(self, *, field: str, expected: object, found: object) -> None:
        super().__init__(f"{field} {found} cannot be merged with {expected}")
        self.field = field
        self.expected = expected
        self.found = found


class TicketError(SavorypondError):
    """A ticket cannot be decoded."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(f"ticket: {problem}")


class DatagramError(WireError):
    """A datagram from another instance is rejected."""

    def __init__(self, *, sender: str, reason: DatagramReason, problem: str) -> None:
        super().__init__(sender=sender, problem=problem)
        self.reason = reason


class InstanceListError(SavorypondError):
    """The platform's list of instances cannot be read."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(f"instance list: {problem}")
        self.problem = problem


class PublishedStateError(SavorypondError):
    """The published state could not be read.

    :param source: name or address of what was read.
    """

    def __init__(self, *, source: str, problem: str) -> None:
        super().__init__(f"published state at {source}: {problem}")
        self.source = source
        self.problem = problem


class HistoryLost(SavorypondError):  # noqa: N818
    """The changes after a position are no longer retained."""

    def __init__(self, *, source: str, position: object) -> None:
        super().__init__(
            f"{source} no longer retains the changes after position {position}"
        )
        self.source = source
        self.position = position


class PoolExhausted(SavorypondError):  # noqa: N818
    """All permitted connections to a backend server are in use."""

    def __init__(self, *, server: str, max_connections: int) -> None:
        super().__init__(
            f"backend server {server}: all {max_connections} connections are in use"
        )
        self.server = server
        self.max_connections = max_connections
