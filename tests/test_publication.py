from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, strategies as st

from savorypond.config.bundle import MAX_VALUE_BYTES
from savorypond.config.messages import Stamp
from savorypond.config.publication import (
    HEAD_KEY,
    bundle_from_values,
    bundle_values,
    change_key,
    decode_change,
    decode_head,
    part_key,
)
from savorypond.config.reader import ConfigReader
from savorypond.config.store import ConfigStore
from savorypond.model import Counters
from savorypond.reasons import ConfigReason
from tests.config_fakes import FakeConfigService, history, make_bundle, stamp_of

HISTORY = history(12)


class PublicationTests(TestCase):
    def test_values_decode_to_the_published_bundle(self):
        service = FakeConfigService()
        for bundle in HISTORY:
            service.publish(bundle)
            self.assertEqual(bundle_from_values(service.values), bundle)

    def test_small_change_rewrites_little_of_a_large_bundle(self):
        numbers = range(2000)
        old, new = make_bundle(1, *numbers), make_bundle(2, *numbers)
        new.services["s7"] = make_bundle(2, 7, slots=9).services["s7"]
        service = FakeConfigService()
        service.publish(old)
        self.assertGreater(decode_head(service.values[HEAD_KEY]).parts, 1)
        sizes = {value.key: len(value.data) for value in bundle_values(old, new)}
        self.assertEqual(len(sizes), 3)
        self.assertLess(sizes[change_key(2)], 2000)
        self.assertTrue(all(size < MAX_VALUE_BYTES for size in sizes.values()))
        service.publish(new)
        self.assertEqual(bundle_from_values(service.values), new)

    def test_bundle_grows_into_more_parts(self):
        service = FakeConfigService()
        with patch("savorypond.config.publication.PART_BYTES", 1000):
            service.publish(make_bundle(1, 1))
            service.publish(make_bundle(2, *range(20)))
        self.assertEqual(bundle_from_values(service.values), make_bundle(2, *range(20)))
        self.assertGreater(decode_head(service.values[HEAD_KEY]).parts, 1)

    def test_invalid_publications_are_rejected(self):
        table = (
            ("same revision", HISTORY[0], HISTORY[0]),
            ("skipped revision", HISTORY[0], HISTORY[2]),
            ("invalid service", HISTORY[0], make_bundle(2, 1, slots=0)),
        )
        for name, old, new in table:
            with self.subTest(name), self.assertRaises(ExceptionGroup):
                bundle_values(old, new)

    def test_damaged_values_are_rejected(self):
        service = FakeConfigService()
        service.publish(HISTORY[0])
        good = service.values
        other = FakeConfigService()
        other.publish(make_bundle(1, 9))
        table = (
            ("missing part", {HEAD_KEY: good[HEAD_KEY]}),
            ("wrong part", good | {part_key(1, 0): other.values[part_key(1, 0)]}),
            ("empty head", good | {HEAD_KEY: b"{}"}),
        )
        for name, values in table:
            with self.subTest(name), self.assertRaises(ExceptionGroup):
                bundle_from_values(values)
        self.assertIsNone(bundle_from_values({}))

    def test_change_holds_its_base_stamp(self):
        service = FakeConfigService()
        for bundle in HISTORY[:2]:
            service.publish(bundle)
        change = decode_change(service.values[change_key(2)])
        self.assertEqual(change.base, stamp_of(HISTORY[0]))
        self.assertEqual(change.held, stamp_of(HISTORY[1]))


class ReaderTests(TestCase):
    @given(
        publish_before_call=st.lists(st.booleans(), max_size=40),
        start=st.integers(0, 6),
        lost=st.booleans(),
    )
    def test_reads_during_publishing_give_a_published_state(
        self, publish_before_call, start, lost
    ):
        """A read that mixes values of several revisions yields one of them."""
        service, unpublished = FakeConfigService(), list(HISTORY)
        store = ConfigStore(counters=Counters())
        with patch("savorypond.config.publication.PART_BYTES", 600):
            service.publish(unpublished.pop(0))
            if start:
                run_read(store, service)
            for _ in range(start):
                service.publish(unpublished.pop(0))
            if lost:
                service.values.pop(change_key(service.revision), None)

            def publish_next():
                if publish_before_call and publish_before_call.pop() and unpublished:
                    service.publish(unpublished.pop(0))

            for _ in range(len(HISTORY) + 2):
                run_read(store, service, publish_next)
                if store.stamp.revision:
                    held = HISTORY[store.stamp.revision - 1]
                    self.assertEqual(store.stamp, stamp_of(held))
                    self.assertEqual(dict(store.bundle.services), held.services)
        self.assertEqual(store.stamp.revision, service.revision)
        self.assertEqual(store._counters.value("config_refused", "invalid"), 0)

    def test_revision_without_its_head_is_not_accepted(self):
        service = FakeConfigService()
        service.publish(HISTORY[0])
        for value in bundle_values(HISTORY[0], HISTORY[1]):
            if value.key != HEAD_KEY:
                service.values[value.key] = value.data
        store = ConfigStore(counters=Counters())
        run_read(store, service)
        self.assertEqual(store.stamp, Stamp())
        self.assertEqual(store._counters.counts, {})
        service.publish(HISTORY[1])
        run_read(store, service)
        self.assertEqual(store.stamp, stamp_of(HISTORY[1]))

    def test_invalid_state_is_not_read_again_before_the_retry_interval(self):
        service = FakeConfigService()
        service.publish(HISTORY[0])
        head = decode_head(service.values[HEAD_KEY])
        service.values[HEAD_KEY] = service.values[HEAD_KEY].replace(
            head.digest.encode(), b"0" * 16
        )
        store = ConfigStore(counters=Counters())
        reader = ConfigReader(store=store)
        counts = [
            len(run_read(store, service, reader=reader, now=t)) for t in (0, 1, 99)
        ]
        self.assertEqual(counts, [2, 1, 2])
        self.assertEqual(
            store._counters.value("config_refused", ConfigReason.INVALID), 2
        )


def run_read(store, service, before=lambda: None, reader=None, now=0.0):
    """Run one read to its end and return its calls."""
    steps = (reader or ConfigReader(store=store)).read(now=now, watch=False)
    calls = []
    try:
        call = next(steps)
        while True:
            calls.append(call)
            before()
            call = steps.send(service.values.get(call.key))
    except StopIteration:
        return calls
