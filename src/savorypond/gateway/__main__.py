"""Entry point of the gateway process.

SIGHUP is ignored until the program handles it, because a reload requested while modules
are imported would otherwise terminate the process. No change is missed, since the
settings are read afterwards.
"""

from signal import SIG_IGN, SIGHUP, signal
from sys import exit as sys_exit


def _start() -> int:
    signal(SIGHUP, SIG_IGN)
    from savorypond.gateway.program import gateway

    return gateway()


if __name__ == "__main__":
    sys_exit(_start())
