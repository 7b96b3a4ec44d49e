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


def run_program(program, *args, **options):
    """Return the exit code, standard output and standard error of a program."""
    out, err = StringIO(), StringIO()
    with (
        redirect_stdout(out),
        patch("savorypond.tools.bundle.stderr", err),
        patch("savorypond.tools.check.stderr", err),
    ):
        code = program(*args, **options)
    return code, out.getvalue(), err.getvalue()


class CheckTests(TestCase):
    def test_examples_are_valid(self):
        for fleet in ("baric", "rodantes"):
            self.assertEqual(run_program(check, EXAMPLES / fleet), (0, "", ""))

    def test_each_problem_is_one_line(self):
        with TemporaryDirectory() as directory:
            path = Path(directory) / "f.yaml"
            path.write_text("service: a\nkind: calls\nmore: 1\n")
            code, out, _ = run_program(check, path)
            _, as_json, _ = run_program(check, path, json=True)
        self.assertEqual(code, 1)
        self.assertIn(f"{path}:3: more: unknown key\n", out)
        problems = decode(as_json)
        self.assertEqual(len(problems), len(out.splitlines()))
        self.assertEqual(problems[-1]["line"], 3)

    def test_no_arguments(self):
        self.assertEqual(run_program(check)[0], 2)


class BundleTests(TestCase):
    def setUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        self.files = self.root / "files"
        self.files.mkdir()
        for path in (EXAMPLES / "baric").iterdir():
            (self.files / path.name).write_text(path.read_text())
        self.in_force = self.root / "held.json"
        code, _, _ = run_program(bundle, self.files, first=True, output=self.in_force)
        self.assertEqual(code, 0)

    def build_next(self, **options):
        output = self.root / "next.json"
        code, _, err = run_program(
            bundle, self.files, in_force=str(self.in_force), output=output, **options
        )
        data = output.read_bytes() if output.exists() else None
        return code, data, err

    def test_next_revision_and_summary(self):
        (self.files / "enquiry-log.yaml").unlink()
        path = self.files / "boat-pages.yaml"
        path.write_text(path.read_text().replace("54ms", "60ms"))
        code, data, err = self.build_next()
        self.assertEqual(code, 0)
        self.assertEqual(decode_bundle(data).revision, 2)
        self.assertEqual(
            err.splitlines(),
            ["revision 2: 0 added, 1 changed, 1 removed", "  ~ boat-pages",
             "  - enquiry-log"],
        )  # fmt: skip

    def test_rollback_is_a_new_revision(self):
        path = self.files / "boat-pages.yaml"
        old = path.read_text()
        path.write_text(old.replace("54ms", "60ms"))
        _, data, _ = self.build_next()
        self.in_force.write_bytes(data)
        path.write_text(old)
        _, data, _ = self.build_next()
        self.assertEqual(decode_bundle(data).revision, 3)

    def test_no_changes(self):
        self.assertEqual(self.build_next()[:2], (0, None))

    def test_the_head_is_the_last_value(self):
        (self.files / "enquiry-log.yaml").unlink()
        _, data, _ = self.build_next(values=True)
        values = decode(data)["values"]
        keys = [value["key"] for value in values]
        self.assertEqual(keys, ["part/1/0", "change/2", "head"])

    def test_refusals(self):
        def remove(*patterns):
            for pattern in patterns:
                for path in self.files.glob(pattern):
                    path.unlink()

        cases = (
            ("shrinks", lambda: remove("listings-*", "portal-*"), "--allow-shrink"),
            ("gap", lambda: remove("listings-07.yaml"), "no shard holds"),
            ("nothing left", lambda: remove("*"), "no service files"),
        )
        for name, change, problem in cases:
            with self.subTest(name):
                self.setUp()
                change()
                code, data, err = self.build_next()
                self.assertEqual((code, data), (1, None))
                self.assertIn(problem, err)
        self.setUp()
        remove("listings-*", "portal-*")
        self.assertEqual(self.build_next(allow_shrink=True)[0], 0)

    def test_unreadable_bundles_in_force(self):
        self.in_force.write_bytes(b"{")
        cases = (
            ("malformed", {"in_force": str(self.in_force)}),
            ("absent", {"in_force": str(self.root / "none")}),
            ("host name", {"in_force": "http://config.example:80"}),
            ("service down", {"in_force": "http://127.0.0.1:1"}),
            ("neither", {}),
            ("both", {"in_force": str(self.in_force), "first": True}),
        )
        for name, options in cases:
            with self.subTest(name):
                code, _, err = run_program(bundle, self.files, **options)
                self.assertEqual(code, 2)
                self.assertTrue(err)
