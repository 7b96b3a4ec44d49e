"""How the gateway's process starts."""

from subprocess import run
from sys import executable
from unittest import TestCase

# The module that is loaded asks how its process takes a reload by then.
PROBE = """
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
    def test_a_reload_while_libraries_load_does_not_end_the_process(self):
        ended = run([executable, "-c", PROBE], check=False)
        self.assertEqual(ended.returncode, 0)
