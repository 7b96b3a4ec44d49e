"""The program savorypond-entry: runs one entry instance until it is stopped."""

from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit as sys_exit, stderr

from curio import run as run_curio
from defopt import run as run_command

from savorypond.daemon import Daemon
from savorypond.logs import log_event, set_up_logs
from savorypond.settings import Settings, load_settings
from savorypond.signals import SignalWait

EXIT_BAD_SETTINGS = 2


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
    set_up_logs(log_format=settings.log_format, instance=settings.name)
    run_curio(_serve, settings)
    return 0


async def _serve(settings: Settings) -> None:
    stop = SignalWait(signals=(SIGTERM, SIGINT))
    async with stop, Daemon(settings=settings) as daemon:
        log_event("started", data_centre=settings.data_centre)
        await stop.wait()
        log_event("stopping")
        await daemon.drain()
    log_event("stopped")


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command(entry))
