"""What an instance says about itself, and whether it may own work."""

from msgspec.structs import replace

from savorypond.membership.wire import MemberUpdate
from savorypond.model import Instance, InstanceState

ACCUSATIONS = frozenset({InstanceState.SUSPECT, InstanceState.DEAD})


class LocalMember:
    """The own update, its incarnation, and the right to own work.

    The incarnation rises only with a restart or a pause: what is tied to it
    ends then. Suspicions are denied by a number within the incarnation.
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
        """The update that peers are told."""
        return self._update

    @property
    def instance(self) -> Instance:
        """This instance as the rest of the package knows it."""
        return self._instance

    @property
    def version(self) -> int:
        """A number that rises whenever this instance as an owner changes."""
        return self._version

    @property
    def leaving(self) -> bool:
        """Whether this instance has said that it is leaving."""
        return self._update.state is InstanceState.LEAVING

    @property
    def joined(self) -> bool:
        """Whether a peer has answered, or the wait for one is over."""
        return self._joined

    @property
    def may_own(self) -> bool:
        """Whether this instance may own work."""
        return self._joined and not self.leaving

    def join(self) -> None:
        """Note that a peer has answered or the wait for one is over."""
        if not self._joined:
            self._joined = True
            self._version += 1

    def leave(self) -> None:
        """Say from now on that this instance is leaving."""
        self._set(replace(self._update, state=InstanceState.LEAVING))

    def renew(self) -> None:
        """Start a new incarnation, which owns nothing until it has joined."""
        self._joined = False
        self._set_incarnation(self._update.incarnation + 1)

    def deny(self, claim: MemberUpdate) -> bool:
        """Overrule what a peer claims about this instance; tell if it had to.

        A claim of a later incarnation stems from a predecessor of the same
        name whose clock was ahead.
        """
        own = self._update
        if claim.incarnation > own.incarnation:
            self._set_incarnation(claim.incarnation + 1)
            return True
        if claim.state in ACCUSATIONS and claim.precedence > own.precedence:
            self._set(replace(own, refutation=claim.refutation + 1))
            return True
        return False

    def _set_incarnation(self, incarnation: int) -> None:
        self._set(replace(self._update, incarnation=incarnation, refutation=0))

    def _set(self, update: MemberUpdate) -> None:
        instance = update.to_instance()
        if instance != self._instance:
            self._version += 1
        self._update = update
        self._instance = instance
