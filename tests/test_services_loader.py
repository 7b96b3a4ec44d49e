from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.model import Address, Priority, ServiceKind
from savorypond.services.loader import (
    load_service_file,
    load_service_files,
    parse_service,
)

GOOD = """\
service: listings-01
kind: search
index: {name: listings, snapshot: newest-complete}
layouts:
  - layout: 1
    shards: [{shard: s1, keys: [0, 10]}, {shard: s2, keys: [10, 20]}]
backend_servers:
  - {name: l1-a, address: "127.0.0.1:9001", data_centre: split}
  - {name: l1-b, address: "[::1]:9001", data_centre: zadar}
limits: {slots: 2, connections: 25, connect_time: 6ms}
priority: interactive
prefer: latency
time_limit: 54ms
least_coverage: 0.5
"""

INVALID_FILES = (
    # name, text to replace, replacement, line, field, part of the problem
    ("unknown key", "prefer:", "prefers:", 12, "prefers", "unknown key"),
    ("nested unknown key", "slots: 2", "slot: 2", 10, "limits.slot", "unknown key"),
    ("missing key", "time_limit: 54ms\n", "", 1, "time_limit", "is missing"),
    ("no unit", "54ms", "54", 13, "time_limit", "one of the units us, ms, s, m"),
    ("bad unit", "54ms", "54h", 13, "time_limit", "one of the units us, ms, s, m"),
    ("limit too long", "54ms", "90s", 13, "time_limit", "less than or equal to 60"),
    ("limit of zero", "54ms", "0ms", 13, "time_limit", "greater than or equal"),
    ("repeated key", "prefer:", "priority:", 11, "priority",
     "duplicate key 'priority', again on line 12"),
    ("repeated shard", "s2", "s1", 6, "layouts[0].shards[1].shard", "duplicate shard"),
    ("overlap", "[10, 20]", "[9, 20]", 6, "layouts[0].shards[1].keys", "overlaps"),
    ("empty range", "[10, 20]", "[10, 10]", 6, "layouts[0].shards[1].keys",
     "not a range"),
    ("range too wide", "20]", "65537]", 6, "layouts[0].shards[1].keys[1]", "65536"),
    ("layout zero", "layout: 1", "layout: 0", 5, "layouts[0].layout", "below 1"),
    ("boolean for number", "slots: 2", "slots: yes", 10, "limits.slots", "integer"),
    ("too few connections", "connections: 25", "connections: 1", 10,
     "limits.connections", "cannot fill 2 slots"),
    ("host name", "127.0.0.1:9001", "db.example:9001", 8,
     "backend_servers[0].address", "not an IP address"),
    ("invalid IP address", "127.0.0.1:", "127.0.0.256:", 8,
     "backend_servers[0].address", "not an IP address"),
    ("port zero", "127.0.0.1:9001", "127.0.0.1:0", 8,
     "backend_servers[0].address", "port 0"),
    ("repeated server", "l1-b", "l1-a", 9, "backend_servers[1].name",
     "duplicate backend server"),
    ("repeated address", "[::1]:9001", "127.0.0.1:9001", 9,
     "backend_servers[1].address", "duplicate address"),
    ("search without index", "index: {name: listings, snapshot: newest-complete}\n",
     "", 1, "index", "needs an index"),
    ("no snapshot rule", ", snapshot: newest-complete", "", 3, "index.snapshot",
     "is missing"),
    ("unknown snapshot rule", "newest-complete", "any", 3, "index.snapshot",
     "newest-complete"),
    ("calls with index", "kind: search", "kind: calls", 3, "index",
     "must not have an index"),
    ("bad name", "listings-01", "Listings 01", 1, "service", "a-z"),
    ("alias", "prefer: latency", "prefer: &a latency\nx: *a", 0, "document", "aliases"),
    ("deep nesting", "prefer: latency", "prefer: " + "[" * 99 + "]" * 99, 0, "document",
     "nested deeper"),
    ("not YAML", "prefer: latency", "prefer: ]", 12, "document", "is not YAML"),
    ("invalid date", "prefer: latency", "prefer: 2001-99-99", 12, "prefer",
     "is not a valid value"),
)  # fmt: skip


class ParseTests(TestCase):
    def test_all_fields_are_parsed(self):
        service = parse_service(GOOD)
        self.assertEqual(service.kind, ServiceKind.SEARCH)
        self.assertEqual(service.index, "listings")
        self.assertEqual(service.layouts[0].shards[1].low, 10)
        addresses = [server.address for server in service.backend_servers]
        self.assertEqual(addresses[0], Address(host="127.0.0.1", port=9001))
        self.assertEqual(addresses[1], Address(host="::1", port=9001))
        self.assertEqual(service.limits.connect_time, 0.006)
        self.assertEqual(service.time_limit, 0.054)
        self.assertEqual(service.priority, Priority.INTERACTIVE)

    def test_each_error_is_reported_with_line_and_field(self):
        for name, old, new, line, field, problem in INVALID_FILES:
            with self.subTest(name):
                self.assertIn(old, GOOD)
                with self.assertRaises(ExceptionGroup) as caught:
                    parse_service(GOOD.replace(old, new, 1), path="f.yaml")
                found = [
                    error
                    for error in caught.exception.exceptions
                    if (error.line, error.field) == (line, field)
                ]
                self.assertTrue(found, caught.exception.exceptions)
                self.assertIn(problem, found[0].problem)
                self.assertEqual(found[0].path, "f.yaml")

    def test_empty_backend_servers_and_layouts(self):
        head, rest = GOOD.split("layouts:")
        tail = rest[rest.index("limits:") :]
        text = f"{head}layouts: []\nbackend_servers: []\n{tail}"
        with self.assertRaises(ExceptionGroup) as caught:
            parse_service(text)
        fields = [error.field for error in caught.exception.exceptions]
        self.assertEqual(fields, ["layouts", "backend_servers"])

    def test_all_errors_of_a_file_are_collected(self):
        text = GOOD.replace("54ms", "54").replace("[9", "[").replace("s2", "s1")
        text = text.replace("[10, 20]", "[9, 20]").replace("prefer:", "prefers:")
        with self.assertRaises(ExceptionGroup) as caught:
            parse_service(text)
        self.assertEqual([e.line for e in caught.exception.exceptions], [6, 6, 12, 13])

    @given(text=st.text(max_size=200) | st.text(alphabet="[]{}:- \n&*!a1", max_size=60))
    def test_arbitrary_text_raises_only_groups_of_errors(self, text):
        with self.assertRaises(ExceptionGroup) as caught:
            parse_service(text)
        self.assertTrue(all(e.problem for e in caught.exception.exceptions))

    @given(cut=st.integers(0, len(GOOD)), insert=st.text(max_size=5))
    def test_damaged_files_raise_only_groups_of_errors(self, cut, insert):
        try:
            parse_service(GOOD[:cut] + insert + GOOD[cut:])
        except ExceptionGroup as group:
            self.assertTrue(all(error.problem for error in group.exceptions))


class LoadTests(TestCase):
    def setUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)

    def test_invalid_files_are_rejected(self):
        table = (
            ("too large", GOOD.encode() + b"#" * 65536, "larger than 65536 bytes"),
            ("not UTF-8", b"service: \xff", "not UTF-8 at byte 9"),
            ("a list", b"- a", "not a mapping"),
            ("empty", b"", "not a mapping"),
        )
        for name, data, problem in table:
            with self.subTest(name):
                path = self.root / "f.yaml"
                path.write_bytes(data)
                with self.assertRaises(ExceptionGroup) as caught:
                    load_service_file(path)
                self.assertIn(problem, caught.exception.exceptions[0].problem)
        with self.assertRaises(ExceptionGroup):
            load_service_file(self.root / "absent.yaml")

    def test_errors_of_all_files_in_a_directory_are_collected(self):
        (self.root / "a.yaml").write_text(GOOD)
        (self.root / "b.yaml").write_text(GOOD)
        (self.root / "c.yml").write_text("x: 1")
        (self.root / "notes.txt").write_text("no service")
        with self.assertRaises(ExceptionGroup) as caught:
            load_service_files(self.root)
        errors = caught.exception.exceptions
        self.assertEqual({Path(e.path).name for e in errors}, {"b.yaml", "c.yml"})
        self.assertIn("also defined in", errors[0].problem)
        self.assertEqual(errors[0].line, 1)

    def test_empty_directory_is_rejected(self):
        with self.assertRaises(ExceptionGroup):
            load_service_files(self.root)
