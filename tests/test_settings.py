from unittest import TestCase

from savorypond.model import Address
from savorypond.settings import LogFormat, PlacementMode, parse_settings

VALID = """\
name: entry-1
fleet: baric
data_centre: split
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
config_service: 127.0.0.1:8001
instance_list: 127.0.0.1:8002
"""

INVALID = (
    ("unknown key", "colour: red\n", 9, "colour", "unknown key"),
    ("placement", "placement: magic\n", 9, "placement", "'direct'"),
    ("size without unit", "requests: {body_bytes: 5}\n", 9, "requests.body_bytes",
     "one of the units B, KiB, MiB"),
    ("size out of bounds", "requests: {body_bytes: 5B}\n", 9, "requests.body_bytes",
     "greater than"),
    ("duration", "drain_time: 10\n", 9, "drain_time", "one of the units"),
    ("no watchers", "watchers_per_data_centre: 0\n", 9, "watchers_per_data_centre",
     "greater than"),
    ("repeated", "fleet: other\n", 2, "fleet", "again on line 9"),
)  # fmt: skip


class SettingsTests(TestCase):
    def test_defaults_and_given_values(self):
        settings = parse_settings(VALID + "requests: {header_bytes: 8KiB}\n")
        self.assertEqual(settings.caller_address, Address(host="127.0.0.1", port=0))
        self.assertEqual(settings.placement, PlacementMode.OWNER)
        self.assertEqual(settings.log_format, LogFormat.JSON)
        self.assertEqual(settings.requests.header_bytes, 8192)
        self.assertEqual(settings.requests.body_bytes, 1024 * 1024)
        self.assertEqual(settings.deadline_margin, 0.003)

    def test_each_problem_is_reported_with_line_and_field(self):
        for name, text, line, field, problem in INVALID:
            with self.subTest(name), self.assertRaises(ExceptionGroup) as caught:
                parse_settings(VALID + text, path="s.yaml")
            (error,) = caught.exception.exceptions
            self.assertEqual((error.path, error.field), (f"s.yaml:{line}", field))
            self.assertIn(problem, error.problem)

    def test_each_missing_setting_is_reported(self):
        for line in VALID.splitlines(keepends=True):
            with self.subTest(line), self.assertRaises(ExceptionGroup) as caught:
                parse_settings(VALID.replace(line, ""))
            (error,) = caught.exception.exceptions
            self.assertEqual(error.field, line.split(":")[0])

    def test_remote_addresses_need_a_port(self):
        with self.assertRaises(ExceptionGroup):
            parse_settings(VALID.replace(":8001", ":0"))
