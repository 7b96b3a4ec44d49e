from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from msgspec.json import decode

from savorypond.config.bundle import decode_bundle
from savorypond.tools.bundle import bundle
from savorypond.tools.check import check

EXAMPLES = Path(__file__).parent.parent / "examples"


def called(program, *args, **options):
    """Return the exit code and what was printed to either stream."""
    out, err = StringIO(), StringIO()
    with (
        redirect_stdout(out),
        patch("savorypond.tools.bundle.stderr", err),
        patch("savorypond.tools.check.stderr", err),
    ):
        code = program(*args, **options)
    return code, out.getvalue(), err.getvalue()


class CheckTests(TestCase):
    def test_examples_are_well(self):
        for fleet in ("baric", "rodantes"):
            self.assertEqual(called(check, EXAMPLES / fleet), (0, "", ""))

    def test_each_problem_is_one_line(self):
        with TemporaryDirectory() as directory:
            path = Path(directory) / "f.yaml"
            path.write_text("service: a\nkind: calls\nmore: 1\n")
            code, out, _ = called(check, path)
            _, as_json, _ = called(check, path, json=True)
        self.assertEqual(code, 1)
        self.assertIn(f"{path}:3: more: unknown key\n", out)
        problems = decode(as_json)
        self.assertEqual(len(problems), len(out.splitlines()))
        self.assertEqual(problems[-1]["line"], 3)

    def test_nothing_named(self):
        self.assertEqual(called(check)[0], 2)


class BundleTests(TestCase):
    def setUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        self.files = self.root / "files"
        self.files.mkdir()
        for path in (EXAMPLES / "baric").iterdir():
            (self.files / path.name).write_text(path.read_text())
        self.held = self.root / "held.json"
        code, _, _ = called(bundle, self.files, first=True, output=self.held)
        self.assertEqual(code, 0)

    def make(self, **options):
        output = self.root / "next.json"
        code, _, err = called(
            bundle, self.files, in_force=str(self.held), output=output, **options
        )
        made = output.read_bytes() if output.exists() else None
        return code, made, err

    def test_next_revision_and_summary(self):
        (self.files / "enquiry-log.yaml").unlink()
        path = self.files / "boat-pages.yaml"
        path.write_text(path.read_text().replace("54ms", "60ms"))
        code, made, err = self.make()
        self.assertEqual(code, 0)
        self.assertEqual(decode_bundle(made).revision, 2)
        self.assertEqual(
            err.splitlines(),
            ["revision 2: 0 added, 1 changed, 1 removed", "  ~ boat-pages",
             "  - enquiry-log"],
        )  # fmt: skip

    def test_rollback_is_a_new_revision(self):
        path = self.files / "boat-pages.yaml"
        old = path.read_text()
        path.write_text(old.replace("54ms", "60ms"))
        _, made, _ = self.make()
        self.held.write_bytes(made)
        path.write_text(old)
        _, made, _ = self.make()
        self.assertEqual(decode_bundle(made).revision, 3)

    def test_nothing_changes(self):
        self.assertEqual(self.make()[:2], (0, None))

    def test_values_to_put_end_with_the_head(self):
        (self.files / "enquiry-log.yaml").unlink()
        _, made, _ = self.make(values=True)
        values = decode(made)["values"]
        keys = [value["key"] for value in values]
        self.assertEqual(keys, ["part/1/0", "change/2", "head"])

    def test_refusals(self):
        def remove(*patterns):
            for pattern in patterns:
                for path in self.files.glob(pattern):
                    path.unlink()

        table = (
            ("shrinks", lambda: remove("listings-*", "portal-*"), "--allow-shrink"),
            ("gap", lambda: remove("listings-07.yaml"), "no shard holds"),
            ("nothing left", lambda: remove("*"), "no service files"),
        )
        for name, fault, problem in table:
            with self.subTest(name):
                self.setUp()
                fault()
                code, made, err = self.make()
                self.assertEqual((code, made), (1, None))
                self.assertIn(problem, err)
        self.setUp()
        remove("listings-*", "portal-*")
        self.assertEqual(self.make(allow_shrink=True)[0], 0)

    def test_sources_that_cannot_be_read(self):
        self.held.write_bytes(b"{")
        table = (
            ("malformed", {"in_force": str(self.held)}),
            ("absent", {"in_force": str(self.root / "none")}),
            ("host name", {"in_force": "http://config.example:80"}),
            ("service down", {"in_force": "http://127.0.0.1:1"}),
            ("neither", {}),
            ("both", {"in_force": str(self.held), "first": True}),
        )
        for name, options in table:
            with self.subTest(name):
                code, _, err = called(bundle, self.files, **options)
                self.assertEqual(code, 2)
                self.assertTrue(err)
