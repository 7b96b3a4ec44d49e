"""Tests of the limits of backend servers under load, on a virtual clock.

No server may get, in any window of 4 s, more than one and a half times what its limit
allows and 5 requests. The instances settle for 4 s after it is announced.
"""

from dataclasses import replace
from unittest import TestCase

from tests.rate_limit_simulation import SETTLING_TIME, Load, RateLimitSimulation

ONE_OF_TWO = Load()
ALL = Load(shards=20, limits=(10.0, 12.0), rates={1: 33.0, 2: 11.0})
# The limited server is hardly used until the other one fails, in a burst.
HARDLY_USED = Load(
    instances=60,
    rates={1: 2.0},
    extra_share=0.0,
    limits=(3.0, None),
    outages=((0, 0.0, 20.0), (1, 20.0, 24.0)),
    burst=(20.0, 24.0),
    burst_factor=50.0,
    limit_period=(1.0, 35.0),
    known_from=2.0,
)


class RateLimitSimulationTests(TestCase):
    def play(self, load, *, after=None):
        outcome = RateLimitSimulation(load).run()
        if after is None:
            after = load.limit_period[0] + SETTLING_TIME
        outcome.check_limits(self, load, after=after)
        before = load.limit_period[1]
        for shard in range(load.shards):
            for number in range(len(load.limits)):
                limit = load.limit(number, before - 1.0)
                if limit is not None:
                    mean = outcome.mean_rate(
                        f"s{shard}-{number}", after=after, before=before
                    )
                    self.assertLessEqual(mean, limit)
        return outcome

    def test_other_servers_take_what_a_limit_leaves(self):
        for seed in range(1, 6):
            with self.subTest(seed):
                outcome = self.play(replace(ONE_OF_TWO, seed=seed))
                self.assertEqual(outcome.full, outcome.offered)

    def test_a_limit_is_used_by_the_instances_that_need_it(self):
        """Most requests arrive at two of the seven instances."""
        load = replace(
            ONE_OF_TWO,
            limits=(7.0,),
            rates={1: 20.0},
            skew=0.3,
            duration=120.0,
            limit_period=(5.0, 115.0),
        )
        for seed in range(1, 6):
            with self.subTest(seed):
                outcome = self.play(replace(load, seed=seed))
                served = outcome.full[1] / (110.0 - SETTLING_TIME)
                self.assertGreater(served, 0.75 * 7.0)

    def test_instances_that_seldom_need_a_server_may_use_what_it_allows(self):
        """Both servers of the service have limits; callers need a quarter of them."""
        for instances, limit, rate in ((7, 6.0, 3.0), (60, 20.0, 10.0)):
            for seed in range(1, 4):
                with self.subTest(instances=instances, seed=seed):
                    load = Load(
                        instances=instances,
                        data_centres=3,
                        limits=(limit, limit),
                        rates={1: rate},
                        known_from=5.0,
                        seed=seed,
                    )
                    outcome = self.play(load)
                    self.assertGreater(outcome.full[1], 0.95 * outcome.offered[1])

    def test_instances_that_are_stopping_do_not_exceed_a_limit(self):
        """Their connections stay open, and callers keep using them."""
        for leaving in (range(3, 5), range(2, 7)):
            for seed in range(1, 4):
                with self.subTest(leaving=leaving, seed=seed):
                    leaves = tuple((number, 10.0, 22.0) for number in leaving)
                    self.play(replace(ONE_OF_TWO, leaves=leaves, seed=seed))

    def test_restarts_do_not_exceed_a_limit(self):
        restarts = tuple((n, 12.0 + 1.3 * n) for n in range(7))
        for seed in range(1, 6):
            with self.subTest(seed):
                load = replace(ONE_OF_TWO, restarts=restarts, seed=seed)
                outcome = self.play(load)
                self.assertEqual(outcome.full, outcome.offered)

    def test_instances_that_are_cut_off_do_not_exceed_a_limit(self):
        cuts = tuple((n, 12.0, 20.0) for n in (0, 3, 5))
        for seed in range(1, 6):
            with self.subTest(seed):
                self.play(replace(ONE_OF_TWO, cuts=cuts, seed=seed))

    def test_data_centres_that_are_cut_off_do_not_exceed_a_limit(self):
        for instances, data_centres in ((7, 3), (40, 5)):
            for seed in range(1, 4):
                with self.subTest(instances=instances, seed=seed):
                    load = replace(
                        ONE_OF_TWO,
                        instances=instances,
                        data_centres=data_centres,
                        limits=(20.0, None),
                        rates={1: 120.0},
                        partitions=((12.0, 55.0, "dc0"),),
                        duration=65.0,
                        limit_period=(5.0, 60.0),
                        seed=seed,
                    )
                    self.play(load)

    def test_instances_in_other_data_centres_than_a_server_do_not_exceed_its_limit(
        self,
    ):
        for server_data_centre, stops in (("dc9", ()), ("dc0", (0, 3, 6))):
            with self.subTest(server_data_centre):
                load = replace(
                    ONE_OF_TWO,
                    data_centres=3,
                    server_data_centre=server_data_centre,
                    stops=tuple((number, 12.0) for number in stops),
                )
                self.play(load)

    def test_instances_that_start_at_once_do_not_exceed_a_limit(self):
        for instances, data_centres in ((7, 3), (40, 5)):
            for seed in range(1, 4):
                with self.subTest(instances=instances, seed=seed):
                    load = replace(
                        ONE_OF_TWO,
                        instances=instances,
                        data_centres=data_centres,
                        joined=False,
                        limits=(6.0, None),
                        rates={1: 60.0},
                        limit_period=(-4.0, 20.0),
                        duration=25.0,
                        seed=seed,
                    )
                    self.play(load)

    def test_instances_that_did_not_use_a_server_know_that_its_limit_fell(self):
        for seed in range(1, 4):
            with self.subTest(seed):
                load = replace(
                    HARDLY_USED,
                    limits=(60.0, None),
                    changes=((0, 8.0, 3.0),),
                    outages=((0, 9.0, 20.0), (1, 20.0, 24.0)),
                    seed=seed,
                )
                self.play(load, after=14.0)

    def test_saved_up_requests_do_not_exceed_a_limit(self):
        for instances in (7, 60):
            for seed in range(1, 6):
                with self.subTest(instances=instances, seed=seed):
                    self.play(replace(HARDLY_USED, instances=instances, seed=seed))

    def test_instances_that_never_used_a_server_know_its_limit(self):
        for seed in range(1, 6):
            with self.subTest(seed):
                self.play(replace(HARDLY_USED, known_by=1, seed=seed))

    def test_a_query_gets_all_of_its_shards_or_none(self):
        """Each of 20 shards has room for half of the requests."""
        for seed in range(1, 4):
            with self.subTest(seed):
                outcome = self.play(replace(ALL, seed=seed))
                offered = sum(outcome.offered.values())
                answered = sum(outcome.partial.values())
                self.assertGreater(answered, 0.35 * offered)
                self.assertGreater(sum(outcome.full.values()), 0.75 * answered)

    def test_urgent_requests_go_first_and_none_starves(self):
        outcome = self.play(ALL)
        share = {p: outcome.partial[p] / outcome.offered[p] for p in ALL.rates}
        self.assertGreater(share[1], 2.0 * share[2])
        self.assertGreater(share[2], 0.05)

    def test_many_instances_share_a_limit(self):
        load = replace(ONE_OF_TWO, instances=60, limits=(6.0, None), rates={1: 24.0})
        outcome = self.play(load)
        self.assertEqual(outcome.full, outcome.offered)
