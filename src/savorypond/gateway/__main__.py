"""Starts the gateway.

A reload that is asked for while libraries load would end the process: until the
program takes the signal, it is ignored. The settings are read after that.
"""

from signal import SIG_IGN, SIGHUP, signal
from sys import exit as sys_exit


def _start() -> int:
    signal(SIGHUP, SIG_IGN)
    from savorypond.gateway.program import gateway

    return gateway()


if __name__ == "__main__":
    sys_exit(_start())
