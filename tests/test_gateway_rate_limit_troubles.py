"""Tests of rate limits under random troubles, on a virtual clock."""

from random import Random
from unittest import TestCase

from tests.rate_limit_simulation import SETTLING_TIME, Load, RateLimitSimulation

DURATION = 45.0  # seconds
FIRST_TROUBLE = 9.0  # seconds
LAST_TROUBLE = 38.0  # seconds


def random_load(seed):
    """Return a load with some stops, starts, cuts and outages."""
    random = Random(seed)
    instances = random.choice((3, 7, 7, 12, 24, 40))
    data_centres = random.choice((1, 2, 3, 5))
    servers = random.choice((1, 2, 2, 3))
    limits = (
        random.uniform(1.0, 15.0),
        *(
            random.choice((None, random.uniform(0.5, 4.0), random.uniform(4.0, 40.0)))
            for _ in range(servers - 1)
        ),
    )

    def times(most):
        count = random.randint(0, most)
        return [random.uniform(FIRST_TROUBLE, LAST_TROUBLE) for _ in range(count)]

    partitions = tuple(
        (time, time + random.uniform(0.5, 25.0), f"dc{random.randrange(data_centres)}")
        for time in times(1)
    )
    cuts = tuple(
        (random.randrange(instances), time, time + random.uniform(0.5, 12.0))
        for time in times(2)
    )
    return Load(
        instances=instances,
        data_centres=data_centres,
        shards=random.choice((1, 1, 1, 6)),
        limits=limits,
        rates={1: random.uniform(0.5, 60.0), 2: random.uniform(0.1, 20.0)},
        skew=random.choice((1.0, 1.0, 0.5)),
        duration=DURATION,
        limit_period=(random.choice((1.0, 5.0)), DURATION - 3.0),
        stops=tuple((random.randrange(instances), time) for time in times(1)),
        leaves=tuple(
            (random.randrange(instances), time, time + random.uniform(2.0, 8.0))
            for time in times(2)
        ),
        restarts=tuple((random.randrange(instances), time) for time in times(4)),
        cuts=cuts,
        partitions=partitions,
        outages=tuple(
            (random.randrange(servers), time, time + random.uniform(1.0, 8.0))
            for time in times(2)
        ),
        burst=(20.0, 24.0),
        burst_factor=random.choice((1.0, 1.0, 10.0, 30.0)),
        known_from=random.choice((None, 6.0)),
        extra_share=random.choice((0.0, 0.05, 0.3)),
        seed=seed,
    )


class RandomTroublesTests(TestCase):
    def check(self, load):
        outcome = RateLimitSimulation(load).run()
        after = max(load.limit_period[0], load.known_from or 0.0) + SETTLING_TIME
        outcome.check_limits(self, load, after=after)

    def test_no_server_gets_more_than_its_limit_tolerates(self):
        for seed in range(1, 31):
            with self.subTest(seed):
                self.check(random_load(seed))
