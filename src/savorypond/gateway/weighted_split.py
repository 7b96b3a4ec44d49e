"""Splits the requests of a route among its services by weight.

Keeps the load of each service steady: every short run of requests follows the weights,
which random selection does only over long runs.
"""

from random import Random

from savorypond.gateway.routes import Route, WeightedService


class WeightedSplit:
    """Smooth weighted round robin for each route, starting at a random position."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._states: dict[str, _RouteState] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        if len(route.split) == 1:
            return route.split[0].service
        state = self._states.get(route.name)
        if state is None or state.split != route.split:
            state = _RouteState(split=route.split, random=self._random)
            self._states[route.name] = state
        return state.next()

    def retain(self, names: frozenset[str]) -> None:
        """Discard the state of routes that are not among ``names``."""
        for name in self._states.keys() - names:
            del self._states[name]


class _RouteState:
    """The credits of the services of one route."""

    def __init__(self, *, split: tuple[WeightedService, ...], random: Random) -> None:
        self.split = split
        self._total = sum(option.weight for option in split)
        self._credits = [random.random() * option.weight for option in split]

    def next(self) -> str:
        best = 0
        for index, option in enumerate(self.split):
            self._credits[index] += option.weight
            if option.weight > 0 and self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self.split[best].service
