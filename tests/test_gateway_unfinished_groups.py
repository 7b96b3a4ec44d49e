"""Tests of savorypond.gateway.unfinished_groups."""

from unittest import TestCase

from curio import run, sleep

from savorypond.gateway.request_run import LINGER_TIME
from savorypond.gateway.unfinished_groups import (
    GroupKey,
    UnfinishedGroup,
    UnfinishedGroups,
)

KEY = GroupKey(peer="127.0.0.1", request_id="r1", number=0)


class FakeRun:
    def __init__(self):
        self.abandoned = 0

    async def abandon(self, *, wait):
        self.abandoned += 1


def group():
    return UnfinishedGroup(run=FakeRun(), spec=None, received=0.0)


class UnfinishedGroupsTests(TestCase):
    def test_a_group_that_is_not_asked_for_is_abandoned_once(self):
        async def main():
            groups, kept = UnfinishedGroups(), group()
            await groups.keep(KEY, kept)
            await sleep(2 * LINGER_TIME)
            self.assertIsNone(groups.take(KEY))
            self.assertEqual(kept.run.abandoned, 1)

        run(main)

    def test_a_group_that_is_taken_goes_on(self):
        async def main():
            groups, kept = UnfinishedGroups(), group()
            await groups.keep(KEY, kept)
            self.assertIs(groups.take(KEY), kept)
            await sleep(2 * LINGER_TIME)
            self.assertEqual(kept.run.abandoned, 0)

        run(main)

    def test_of_two_groups_with_one_key_the_first_is_abandoned(self):
        async def main():
            groups, first, second = UnfinishedGroups(), group(), group()
            await groups.keep(KEY, first)
            await groups.keep(KEY, second)
            self.assertEqual(first.run.abandoned, 1)
            self.assertIs(groups.take(KEY), second)

        run(main)
