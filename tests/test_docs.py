"""Holds the pages against the code."""

from contextlib import redirect_stderr
from dataclasses import MISSING, fields, is_dataclass
from inspect import signature
from io import StringIO
from json import loads
from pathlib import Path
from re import DOTALL, MULTILINE, escape, findall, search, sub
from shlex import split
from typing import get_args
from unittest import TestCase

from defopt import bind
from msgspec.json import decode, encode

import savorypond
from savorypond.calls.api import CallBody, TicketsBody
from savorypond.calls.connection import CallAnswer
from savorypond.calls.tickets import decode_ticket
from savorypond.config.publication import decode_head
from savorypond.controllers.health import HealthAnswer
from savorypond.entry import entry
from savorypond.exceptions import RequestRefused
from savorypond.gateway.program import gateway
from savorypond.http.messages import problem_response, refusal_status
from savorypond.peers.link_messages import LinkMessage
from savorypond.queries.caller_api import QueryBody
from savorypond.queries.partials import decode_answer
from savorypond.reasons import (
    CancelReason,
    ConfigReason,
    DatagramReason,
    DenialReason,
    DropReason,
    EjectionReason,
    Execution,
    HedgeReason,
    InstanceListReason,
    MissingReason,
    RefusalReason,
    RepinReason,
    RetryReason,
)
from savorypond.services.loader import parse_service
from savorypond.services.units import parse_duration, parse_size
from savorypond.settings import Settings, parse_settings
from savorypond.standins.backend_server import CallRequest, SearchRequest
from savorypond.standins.cli import plan, publish, put, serve
from savorypond.standins.platform import ListedInstance
from savorypond.tools.bundle import bundle
from savorypond.tools.check import check
from savorypond.tools.load import ask, call, compare, open_loop
from savorypond.tools.load_run import AnswerBody
from savorypond.tools.status import status

ROOT = Path(__file__).parent.parent
SOURCES = {
    path: path.read_text() for path in (ROOT / "src" / "savorypond").rglob("*.py")
}
README = (ROOT / "README.md").read_text()
INTERFACES = (ROOT / "docs" / "INTERFACES.md").read_text()
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()

PROGRAMS = {
    "savorypond-entry": entry,
    "savorypond-check": check,
    "savorypond-bundle": bundle,
    "savorypond-status": status,
    "savorypond-gateway": gateway,
    "savorypond-load": [open_loop, compare, ask, call],
    "savorypond-standin": [plan, serve, put, publish],
}

SECTION_OF_REASONS = {
    RefusalReason: "refusals",
    MissingReason: "missing_shards and fanout_missing",
    RetryReason: "retries",
    HedgeReason: "hedges",
    DenialReason: "denials",
    CancelReason: "cancels, cancels_sent and cancels_failed",
    DropReason: "drops",
    RepinReason: "repins",
    EjectionReason: "ejections",
    ConfigReason: "Configuration",
    DatagramReason: "Instances",
    InstanceListReason: "Instances",
}


def section(page, title):
    """Return the text under a heading, without that of its sub-headings."""
    found = search(
        rf"^#+ {escape(title)}\n(.*?)(?=^#|\Z)",
        page,
        MULTILINE | DOTALL,
    )
    return found[1] if found else ""


def blocks(page, language):
    return findall(rf"^```{language}\n(.*?)^```", page, MULTILINE | DOTALL)


def rows(text):
    """Return the cells of every table row."""
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def counted():
    """Return each counter's name with its literal reason, or none."""
    found = set()
    for text in SOURCES.values():
        constants = dict(findall(r'^([A-Z_]+) = "(\w+)"', text, MULTILINE))
        for name, reason in findall(r'ounters\.add\(\s*("?\w+"?),\s*("?[\w-]+)', text):
            reason = reason.strip('"') if reason.startswith('"') else ""
            found.add((constants.get(name) or name.strip('"'), reason))
    return found


class RefusalTests(TestCase):
    def test_every_refusal_stands_with_its_status(self):
        table = {row[0]: row for row in rows(section(INTERFACES, "Refusals"))}
        for reason in RefusalReason:
            with self.subTest(reason):
                row = table[f"`{reason.value}`"]
                self.assertEqual(int(row[2]), refusal_status(reason))
                self.assertRegex(row[3], "|".join(Execution))

    def test_every_missing_reason_is_told_to_callers(self):
        text = section(INTERFACES, "POST /v1/query")
        for reason in MissingReason:
            with self.subTest(reason):
                self.assertIn(f"\n| `{reason.value}` |", text)


class ExampleTests(TestCase):
    def examples(self, title):
        return blocks(section(INTERFACES, title), "json")

    def test_query(self):
        asked, answered = self.examples("POST /v1/query")
        QueryBody.model_validate_json(asked)
        answer = decode(answered, type=AnswerBody)
        coverage = answer.coverage
        self.assertEqual(coverage.asked, coverage.covered + len(coverage.missing))
        self.assertEqual(len(loads(answered)["results"]), coverage.covered)

    def test_tickets_and_calls(self):
        asked, answered = self.examples("POST /v1/tickets")
        tickets = loads(answered)["tickets"]
        self.assertEqual(TicketsBody.model_validate_json(asked).count, len(tickets))
        self.assertEqual({decode_ticket(t).instance for t in tickets}, {"entry-1"})
        asked, answered = self.examples("POST /v1/services/{service}/calls")
        sent = CallBody.model_validate_json(asked)
        self.assertEqual(sent.ticket, loads(answered)["ticket"])

    def test_problem_document(self):
        (example,) = self.examples("Refusals")
        document = loads(example)
        refusal = RequestRefused(
            reason=RefusalReason(document["reason"]),
            detail=document["detail"],
            execution=Execution(document["execution"]),
            retry_after=document["retry_after"],
        )
        response = problem_response(refusal, request_id=document["request_id"])
        self.assertEqual(loads(response.body), document)

    def test_backend_servers(self):
        asked, answered = self.examples("POST /v1/search")
        search_request = decode(asked, type=SearchRequest)
        answer = decode_answer(answered.encode(), server="example")
        self.assertEqual(answer.request_id, search_request.request_id)
        (asked,) = self.examples("POST /v1/calls")
        request = decode(asked, type=CallRequest)
        answer = encode({"request_id": request.request_id, "result": 1})
        decode(answer, type=CallAnswer)
        (health,) = self.examples("GET /v1/health")
        self.assertEqual(len(decode(health, type=HealthAnswer).held), 1)

    def test_platform(self):
        (stored,) = self.examples("Configuration service")
        stored = loads(stored)
        head = decode_head(encode(stored["value"]))
        self.assertEqual(head.revision, stored["revision"])
        (listed,) = self.examples("Instance list")
        for line in loads(listed)["instances"]:
            ListedInstance.model_validate(line)


class LinkMessageTests(TestCase):
    def test_every_message_stands_with_its_fields(self):
        table = {row[0]: row[1] for row in rows(section(INTERFACES, "Links"))}
        for message in get_args(LinkMessage):
            config = message.__struct_config__
            with self.subTest(config.tag):
                names = findall(r"`(\w+)`", table[f"`{config.tag}`"])
                self.assertEqual(names, list(message.__struct_fields__))


class MetricsTests(TestCase):
    def test_every_counter_and_literal_reason_stands(self):
        metrics = OPERATIONS.partition("\n## Metrics")[2].partition("\n## ")[0]
        found = counted()
        self.assertGreater(len(found), 30)
        for name, reason in sorted(found):
            with self.subTest(f"{name} {reason}"):
                self.assertRegex(metrics, rf"(?m)^#.*\b{name}\b|`{name}`")
                self.assertTrue(not reason or f"`{reason}`" in metrics)

    def test_every_reason_stands_in_its_section(self):
        for reasons, title in SECTION_OF_REASONS.items():
            text = section(OPERATIONS, title)
            for reason in reasons:
                with self.subTest(f"{title}: {reason}"):
                    self.assertIn(f"`{reason.value}`", text)

    def test_every_latency_and_event_stands(self):
        latencies = section(OPERATIONS, "Metrics")
        events = section(OPERATIONS, "Log events")
        text = "\n".join(SOURCES.values())
        for page, names in (
            (latencies, findall(r'\.latency\("(\w+)"\)', text)),
            (events, findall(r'log_event\(\s*"([\w-]+)"', text)),
        ):
            self.assertGreater(len(names), 2)
            for name in names:
                with self.subTest(name):
                    self.assertIn(f"\n| `{name}` |", page)


class SettingsTests(TestCase):
    def test_every_key_stands_with_its_default(self):
        table = rows(section(OPERATIONS, "Settings of an instance"))
        written = {row[0].strip("`"): row[2].strip("`") for row in table[2:]}
        self.assertEqual(written, dict(self.expected(Settings, "", written)))

    def expected(self, kind, prefix, written):
        """Yield the keys of ``kind``, with what is written where it is right."""
        for one in fields(kind):
            name = prefix + one.name
            if is_dataclass(one.type) and one.default is not MISSING:
                yield from self.expected(one.type, f"{name}.", written)
            elif one.default is MISSING:
                yield name, "required"
            else:
                text = written.get(name, "")
                right = self.value(text) == one.default
                yield name, text if right else str(one.default)

    def value(self, text):
        for parse in (parse_duration, parse_size, int):
            try:
                return parse(text)
            except ValueError:
                continue
        return text

    def test_yaml_examples_are_usable(self):
        settings, service = blocks(OPERATIONS, "yaml")
        self.assertEqual(parse_settings(settings).name, "entry-1")
        self.assertEqual(parse_service(service).name, "listings-07")

    def test_every_key_of_the_example_files_stands(self):
        text = section(OPERATIONS, "Service files")
        for path in (ROOT / "examples").rglob("*.yaml"):
            for key in findall(r"(\w+): ", path.read_text().partition("\n")[2]):
                with self.subTest(f"{path.name}: {key}"):
                    self.assertRegex(text, rf"(?m)^\| `[\w.\[\]]*\b{key}\b[\w.\[\]]*`")


class CommandTests(TestCase):
    def commands(self):
        for page in (README, OPERATIONS):
            for block in blocks(page, "sh"):
                yield from block.splitlines()

    def test_every_command_can_be_read(self):
        makefile = (ROOT / "Makefile").read_text()
        seen = set()
        for line in self.commands():
            program, *arguments = split(line)
            seen.add(program)
            with self.subTest(line), redirect_stderr(StringIO()) as errors:
                if program == "make":
                    self.assertRegex(makefile, rf"(?m)^{arguments[0]}:")
                    continue
                try:
                    bound = bind(PROGRAMS[program], argv=arguments)
                except SystemExit:
                    self.fail(errors.getvalue())
                names = signature(bound.func).parameters
                options = {"--" + name.replace("_", "-") for name in names}
                given = {one for one in arguments if one.startswith("--")}
                self.assertLessEqual(given, options)
        self.assertEqual(seen, {"make", *PROGRAMS})

    def test_every_program_is_installed_and_described(self):
        project = (ROOT / "pyproject.toml").read_text()
        for program in findall(r"^(savorypond-\w+) = ", project, MULTILINE):
            with self.subTest(program):
                self.assertIn(program, PROGRAMS)
                self.assertIn(f"\n| `{program}` |", README)
                self.assertIn(f"\n| `{program}` |", OPERATIONS)


class LinkTests(TestCase):
    def test_every_link_leads_somewhere(self):
        for path in (ROOT / "README.md", *(ROOT / "docs").glob("*.md")):
            for target, anchor in findall(
                r"\]\(([\w./]*)#?([\w-]*)\)", path.read_text()
            ):
                with self.subTest(f"{path.name}: {target}#{anchor}"):
                    page = path.parent / target if target else path
                    headings = findall(r"^#+ (.*)$", page.read_text(), MULTILINE)
                    anchors = {slug(heading) for heading in headings}
                    self.assertIn(anchor, {*anchors, ""})

    def test_public_names_exist(self):
        for name in savorypond.__all__:
            with self.subTest(name):
                self.assertEqual(getattr(savorypond, name).__name__, name)


def slug(heading):
    return sub(r"[^\w -]", "", heading.lower()).replace(" ", "-")
