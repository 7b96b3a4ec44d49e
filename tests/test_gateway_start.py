"""Tests of the start of the gateway process."""

from subprocess import run
from sys import executable
from unittest import TestCase

# Exits when the daemon module is imported: with 3 if SIGHUP would end the process then.
SCRIPT = """
import sys
from importlib.abc import MetaPathFinder
from signal import SIGHUP, SIG_DFL, getsignal

class Watch(MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "savorypond.gateway.daemon":
            sys.exit(3 if getsignal(SIGHUP) is SIG_DFL else 0)

sys.meta_path.insert(0, Watch())
import runpy
runpy.run_module("savorypond.gateway", run_name="__main__")
"""


class StartTests(TestCase):
    def test_a_reload_during_imports_does_not_terminate_the_process(self):
        process = run([executable, "-c", SCRIPT], check=False)
        self.assertEqual(process.returncode, 0)
