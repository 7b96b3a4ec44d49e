"""Tests of savorypond.gateway.relay and savorypond.gateway.changelog."""

from unittest import TestCase

from savorypond.exceptions import HistoryLost
from savorypond.gateway.changelog import MOST_ENTRIES, ChangeLog
from savorypond.gateway.published_state import PublishedChanges, ServerChange
from savorypond.gateway.relay import MOST_FAILURES, READERS, SMALL, Relay
from savorypond.model import Address, Instance
from tests.gateway_fakes import server


def instances(count, data_centre="a"):
    address = Address(host="127.0.0.1", port=1)
    return tuple(
        Instance(
            name=f"{data_centre}{n}",
            data_centre=data_centre,
            peer_address=address,
            incarnation=1,
        )
        for n in range(count)
    )


class RelayTests(TestCase):
    def test_in_a_small_data_centre_each_reads_for_itself(self):
        live = instances(SMALL) + instances(30, "b")
        for one in live[:SMALL]:
            relay = Relay(own=one.name, data_centre="a")
            self.assertIsNone(relay.reader(live))

    def test_in_a_large_one_two_read_for_all(self):
        live = instances(20) + instances(20, "b")
        readers, asked = [], set()
        for one in live[:20]:
            reader = Relay(own=one.name, data_centre="a").reader(live)
            if reader is None:
                readers.append(one.name)
            else:
                asked.add(reader.name)
        self.assertEqual(len(readers), READERS)
        self.assertLessEqual(asked, set(readers))

    def test_another_reader_is_asked_after_a_failure_and_then_the_store(self):
        live = instances(20)
        relay = Relay(own="a99", data_centre="a")
        asked = []
        for _ in range(MOST_FAILURES):
            asked.append(relay.reader(live).name)
            relay.failed()
        self.assertGreater(len(set(asked)), 1)
        self.assertIsNone(relay.reader(live))
        relay.answered()
        self.assertIsNotNone(relay.reader(live))


def changes(position, *servers):
    return PublishedChanges(
        position=position,
        table=None,
        servers=tuple(ServerChange(name=s.name, server=s) for s in servers),
    )


class ChangeLogTests(TestCase):
    def setUp(self):
        self.log = ChangeLog()
        self.log.restart(10)

    def test_gives_what_came_after_a_position(self):
        self.log.add(changes(11, server("x")), {})
        self.log.add(changes(12, server("y")), {})
        since = self.log.since(11, 12)
        self.assertEqual([c.name for c in since.servers], ["y"])
        self.assertEqual(since.position, 12)

    def test_leaves_heartbeats_out(self):
        before = {"x": server("x", cold_for=2.0)}
        self.log.add(changes(11, server("x")), before)
        self.assertEqual(self.log.since(10, 11).servers, ())
        self.log.add(changes(12, server("x", leaving=True)), before)
        self.assertEqual(len(self.log.since(10, 12).servers), 1)

    def test_tells_that_older_changes_are_gone(self):
        with self.assertRaises(HistoryLost):
            self.log.since(9, 10)
        for position in range(11, 13 + MOST_ENTRIES):
            self.log.add(changes(position, server("x")), {})
        with self.assertRaises(HistoryLost):
            self.log.since(10, 99)
        self.assertEqual(len(self.log.since(12, 99).servers), 1)
