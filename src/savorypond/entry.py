"""The program savorypond-entry: runs one entry instance until it is stopped."""

from gc import collect, freeze, set_threshold
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit as sys_exit, stderr

from curio import run as run_curio
from defopt import run as run_command

from savorypond.daemon import Daemon
from savorypond.logs import configure_logging, log_event
from savorypond.settings import Settings, load_settings
from savorypond.signals import SignalWaiter

EXIT_BAD_SETTINGS = 2
GC_THRESHOLD = 20_000  # net allocations that start a garbage collection


def entry(settings_file: Path) -> int:
    """Run one entry instance; SIGTERM and SIGINT drain and stop it.

    :param settings_file: YAML file with the settings of the instance.
    """
    try:
        settings = load_settings(settings_file)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(error, file=stderr)
        return EXIT_BAD_SETTINGS
    configure_logging(log_format=settings.log_format, instance=settings.name)
    run_curio(_serve, settings)
    return 0


def _tune_garbage_collector() -> None:
    # Objects that live as long as the process need not be scanned again.
    collect()
    freeze()
    set_threshold(GC_THRESHOLD)


async def _serve(settings: Settings) -> None:
    signals = SignalWaiter(signals=(SIGTERM, SIGINT))
    async with signals, Daemon(settings=settings) as daemon:
        _tune_garbage_collector()
        log_event("started", data_centre=settings.data_centre)
        await signals.wait()
        log_event("stopping")
        await daemon.drain()
    log_event("stopped")


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command(entry))
