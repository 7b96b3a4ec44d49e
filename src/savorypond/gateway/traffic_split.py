"""Deals the requests of a route out to its services by weight.

Answers steady load: every stretch of requests holds each service in proportion,
which a random draw reaches only over long stretches.
"""

from random import Random

from savorypond.gateway.routes import Route, WeightedService


class WeightedSplit:
    """Smooth weighted round robin for each route, from a random position."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._states: dict[str, _RouteState] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of ``route`` goes to."""
        if len(route.split) == 1:
            return route.split[0].service
        state = self._states.get(route.name)
        if state is None or state.split != route.split:
            state = _RouteState(split=route.split, random=self._random)
            self._states[route.name] = state
        return state.next()

    def keep(self, names: frozenset[str]) -> None:
        """Forget the routes that are not among ``names``."""
        for name in self._states.keys() - names:
            del self._states[name]


class _RouteState:
    """Credits of one route's services."""

    def __init__(self, *, split: tuple[WeightedService, ...], random: Random) -> None:
        self.split = split
        self._total = sum(part.weight for part in split)
        self._credits = [random.random() * part.weight for part in split]

    def next(self) -> str:
        best = 0
        for index, part in enumerate(self.split):
            self._credits[index] += part.weight
            if part.weight > 0 and self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self.split[best].service
