"""The member update of this instance, and whether it may own work."""

from msgspec.structs import replace

from savorypond.membership.wire import MemberUpdate
from savorypond.model import Instance, InstanceState

REFUTABLE_STATES = frozenset({InstanceState.SUSPECT, InstanceState.DEAD})


class LocalMember:
    """State that this instance announces about itself.

    The incarnation increases only with a restart or a pause, which invalidates
    everything tied to it. Suspicions are refuted by a counter within an
    incarnation.
    """

    def __init__(self, *, local_instance: Instance) -> None:
        self._update = MemberUpdate(
            name=local_instance.name,
            data_centre=local_instance.data_centre,
            host=local_instance.peer_address.host,
            port=local_instance.peer_address.port,
            incarnation=local_instance.incarnation,
            refutation=0,
            state=InstanceState.LIVE,
        )
        self._instance = self._update.to_instance()
        self._joined = False
        self._version = 0

    @property
    def update(self) -> MemberUpdate:
        """The update sent to peers."""
        return self._update

    @property
    def instance(self) -> Instance:
        """This instance as the rest of the package represents it."""
        return self._instance

    @property
    def version(self) -> int:
        """A number that increases whenever this instance changes as an owner."""
        return self._version

    @property
    def leaving(self) -> bool:
        """Whether this instance has announced that it is leaving."""
        return self._update.state is InstanceState.LEAVING

    @property
    def joined(self) -> bool:
        """Whether a peer has answered or the wait for one is over."""
        return self._joined

    @property
    def may_own(self) -> bool:
        """Whether this instance may own work."""
        return self._joined and not self.leaving

    def join(self) -> None:
        """Record that a peer has answered or that the wait for one is over."""
        if not self._joined:
            self._joined = True
            self._version += 1

    def leave(self) -> None:
        """Set the announced state to leaving."""
        self._replace(replace(self._update, state=InstanceState.LEAVING))

    def start_new_incarnation(self) -> None:
        """Start a new incarnation, which owns nothing until it has joined."""
        self._joined = False
        self._set_incarnation(self._update.incarnation + 1)

    def refute(self, claim: MemberUpdate) -> bool:
        """Override ``claim``, a peer's update about this instance, where needed.

        Return whether an override was needed. A claim with a later incarnation
        stems from a predecessor of the same name whose clock was ahead.
        """
        current = self._update
        if claim.incarnation > current.incarnation:
            self._set_incarnation(claim.incarnation + 1)
            return True
        if claim.state in REFUTABLE_STATES and claim.precedence > current.precedence:
            self._replace(replace(current, refutation=claim.refutation + 1))
            return True
        return False

    def _set_incarnation(self, incarnation: int) -> None:
        self._replace(replace(self._update, incarnation=incarnation, refutation=0))

    def _replace(self, update: MemberUpdate) -> None:
        instance = update.to_instance()
        if instance != self._instance:
            self._version += 1
        self._update = update
        self._instance = instance
