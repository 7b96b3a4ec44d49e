"""Tests of savorypond.gateway.reader_selection and savorypond.gateway.changelog."""

from unittest import TestCase

from savorypond.exceptions import HistoryLost
from savorypond.gateway.changelog import MAX_ENTRIES, ChangeLog
from savorypond.gateway.published_state import PublishedChanges, ServerChange
from savorypond.gateway.reader_selection import (
    MAX_DIRECT_READERS,
    MAX_FAILURES,
    READERS_PER_DATA_CENTRE,
    ReaderSelection,
)
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


class ReaderSelectionTests(TestCase):
    def test_all_instances_of_a_small_data_centre_read_the_store(self):
        live = instances(MAX_DIRECT_READERS) + instances(30, "b")
        for instance in live[:MAX_DIRECT_READERS]:
            selection = ReaderSelection(own_name=instance.name, data_centre="a")
            self.assertIsNone(selection.reader(live))

    def test_two_instances_of_a_large_data_centre_read_the_store(self):
        live = instances(20) + instances(20, "b")
        readers, asked = [], set()
        for instance in live[:20]:
            reader = ReaderSelection(own_name=instance.name, data_centre="a").reader(
                live
            )
            if reader is None:
                readers.append(instance.name)
            else:
                asked.add(reader.name)
        self.assertEqual(len(readers), READERS_PER_DATA_CENTRE)
        self.assertLessEqual(asked, set(readers))

    def test_fails_over_to_the_other_reader_and_then_to_the_store(self):
        live = instances(20)
        selection = ReaderSelection(own_name="a99", data_centre="a")
        asked = []
        for _ in range(MAX_FAILURES):
            asked.append(selection.reader(live).name)
            selection.record_failure()
        self.assertGreater(len(set(asked)), 1)
        self.assertIsNone(selection.reader(live))
        selection.record_success()
        self.assertIsNotNone(selection.reader(live))


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

    def test_returns_the_changes_after_a_position(self):
        self.log.add(changes(11, server("x")), {})
        self.log.add(changes(12, server("y")), {})
        since = self.log.since(11, 12)
        self.assertEqual([c.name for c in since.servers], ["y"])
        self.assertEqual(since.position, 12)

    def test_omits_renewed_registrations(self):
        before = {"x": server("x", cold_for=2.0)}
        self.log.add(changes(11, server("x")), before)
        self.assertEqual(self.log.since(10, 11).servers, ())
        self.log.add(changes(12, server("x", leaving=True)), before)
        self.assertEqual(len(self.log.since(10, 12).servers), 1)

    def test_raises_if_older_changes_are_no_longer_kept(self):
        with self.assertRaises(HistoryLost):
            self.log.since(9, 10)
        for position in range(11, 13 + MAX_ENTRIES):
            self.log.add(changes(position, server("x")), {})
        with self.assertRaises(HistoryLost):
            self.log.since(10, 99)
        self.assertEqual(len(self.log.since(12, 99).servers), 1)
