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
COLLECT_AFTER = 20_000  # allocations between two looks for cyclic garbage


def entry(settings_file: Path) -> int:
    """Run one entry instance. SIGTERM and SIGINT stop it after a drain.

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


def _tune_collector() -> None:
    # What lives as long as the process need not be looked at again and again.
    collect()
    freeze()
    set_threshold(COLLECT_AFTER)


async def _serve(settings: Settings) -> None:
    stop = SignalWaiter(signals=(SIGTERM, SIGINT))
    async with stop, Daemon(settings=settings) as daemon:
        _tune_collector()
        log_event("started", data_centre=settings.data_centre)
        await stop.wait()
        log_event("stopping")
        await daemon.drain()
    log_event("stopped")


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command(entry))
