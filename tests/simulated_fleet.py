"""A fleet of membership instances on a virtual clock, with delay, loss and cuts."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from savorypond.membership.membership import Membership
from savorypond.membership.settings import MembershipSettings, Send
from savorypond.membership.wire import encode
from savorypond.model import Address, Instance, InstanceState

TICK_INTERVAL = 0.1  # seconds
LOCAL_DELAY = 0.0005  # seconds one way inside a data centre
REMOTE_DELAY = 0.004  # seconds one way between data centres


@dataclass(slots=True, kw_only=True)
class Node:
    instance: Instance
    membership: Membership
    alive: bool = True
    paused: bool = False


class SimulatedFleet:
    """Delivers the datagrams of the instances, in the order of virtual time.

    :param loss: share of datagrams that are lost.
    :param seeds: number of instances that all others know at the start, or None for
        all of them.
    """

    def __init__(
        self,
        *,
        size: int,
        data_centres: int = 3,
        seed: int = 1,
        loss: float = 0.0,
        settings: MembershipSettings | None = None,
        seeds: int | None = None,
    ) -> None:
        self.now = 100.0
        self.loss = loss
        self.cut: Callable[[Node, Node], bool] = lambda sender, target: False
        self.sent = 0
        self.sent_bytes = 0
        self.remote_bytes = 0
        self._settings = settings
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.nodes: dict[str, Node] = {}
        self._by_address: dict[Address, Node] = {}
        for number in range(size):
            self.start(number, f"dc{number % data_centres}")
        nodes = list(self.nodes.values())
        listed = [self._as_listed(node, ()) for node in nodes[:seeds]]
        for node in nodes:
            self._do(node, node.membership.list_received(listed, self.now))

    def start(self, number: int, data_centre: str, incarnation: int = 0) -> Node:
        instance = Instance(
            name=f"i{number:04}",
            data_centre=data_centre,
            peer_address=Address(host="127.0.0.1", port=1000 + number),
            incarnation=incarnation or int(self.now * 1e9),
        )
        membership = Membership(
            local_instance=instance,
            now=self.now,
            rng=Random(self._rng.random()),
            settings=self._settings,
        )
        node = Node(instance=instance, membership=membership)
        self.nodes[instance.name] = node
        self._by_address[instance.peer_address] = node
        self._at(
            self.now + self._rng.uniform(0, TICK_INTERVAL), lambda: self._tick(node)
        )
        return node

    def node(self, number: int) -> Node:
        return self.nodes[f"i{number:04}"]

    def deliver_instance_list(
        self, *nodes: Node, leaving: tuple[str, ...] = ()
    ) -> None:
        listed = [self._as_listed(node, leaving) for node in self.nodes.values()]
        for node in nodes:
            self._do(node, node.membership.list_received(listed, self.now))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until ``condition``; return the seconds, or infinity after ``limit``."""
        start = self.now
        while not condition():
            if self.now - start >= limit:
                return float("inf")
            self.run(TICK_INTERVAL)
        return self.now - start

    def leave(self, node: Node) -> None:
        self._do(node, node.membership.leave(self.now))

    def view_of(self, node: Node) -> frozenset[str]:
        return frozenset(peer.name for peer in node.membership.live())

    def views_agree(self) -> bool:
        """Return whether the view of each running instance is the running ones."""
        running = [node for node in self.nodes.values() if self.is_running(node)]
        names = frozenset(
            node.instance.name for node in running if not node.membership.leaving
        )
        return all(self.view_of(node) == names for node in running)

    def is_running(self, node: Node) -> bool:
        current = self.nodes[node.instance.name] is node
        return node.alive and not node.paused and current

    def _as_listed(self, node: Node, leaving: tuple[str, ...]) -> Instance:
        name = node.instance.name
        state = InstanceState.LEAVING if name in leaving else InstanceState.LIVE
        return Instance(
            name=name,
            data_centre=node.instance.data_centre,
            peer_address=node.instance.peer_address,
            incarnation=0,
            state=state,
        )

    def _at(self, time: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heappush(self._events, (time, self._event_count, action))

    def _tick(self, node: Node) -> None:
        if not node.alive or self.nodes[node.instance.name] is not node:
            return
        if not node.paused:
            self._do(node, node.membership.tick(self.now))
        self._at(self.now + TICK_INTERVAL, lambda: self._tick(node))

    def _do(self, node: Node, actions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._deliver(node, action)

    def _deliver(self, node: Node, action: Send) -> None:
        self.sent += 1
        self.sent_bytes += len(encode(action.packet, fleet="test"))
        target = self._by_address.get(action.address)
        if target is None or self.cut(node, target) or self._rng.random() < self.loss:
            return
        is_local = node.instance.data_centre == target.instance.data_centre
        if not is_local:
            self.remote_bytes += len(encode(action.packet, fleet="test"))
        delay = (LOCAL_DELAY if is_local else REMOTE_DELAY) * self._rng.uniform(
            1.0, 2.0
        )

        def arrive() -> None:
            if self.is_running(target):
                received = target.membership.received
                source = node.instance.peer_address
                self._do(target, received(action.packet, source, self.now))

        self._at(self.now + delay, arrive)
