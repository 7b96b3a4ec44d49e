"""The command savorypond-gateway, which runs one gateway instance on the platform."""

from signal import SIGHUP, SIGINT, SIGTERM, Signals
from sys import exit as sys_exit, stderr, stdout
from typing import Any

from curio import TaskGroup, run as run_curio, sleep

from savorypond.exceptions import SettingsError
from savorypond.gateway.daemon import Gateway
from savorypond.gateway.rate_limited_log import open_rate_limited_log
from savorypond.gateway.settings import GatewaySettings
from savorypond.logs import LogFormat, configure_logging, log_event
from savorypond.platform.names import HEADERS, READY_PATH
from savorypond.platform.node_file import load_node_file, node_file_path
from savorypond.platform.store import PlatformStore
from savorypond.signals import SignalWaiter

EXIT_BAD_SETTINGS = 2
RELOAD_INTERVAL = 1.0  # seconds between checks of the settings file


def gateway() -> int:
    """Run one gateway instance. SIGTERM and SIGINT stop it after a drain.

    The platform's environment variable names the settings file. The instance reloads
    it on SIGHUP and whenever it changes.
    """
    try:
        settings = load_node_file(node_file_path())
    except SettingsError as error:
        print(error, file=stderr)
        return EXIT_BAD_SETTINGS
    configure_logging(
        log_format=LogFormat.JSON,
        instance=settings.name,
        stream=open_rate_limited_log(stdout.fileno()),
    )
    run_curio(_serve, settings)
    return 0


async def _serve(settings: GatewaySettings) -> None:
    signals = SignalWaiter(signals=(SIGTERM, SIGINT, SIGHUP))
    store = PlatformStore(address=settings.store_address, source_host=settings.host)
    async with (
        signals,
        Gateway(
            settings=settings, names=HEADERS, source=store, ready_path=READY_PATH
        ) as instance,
    ):
        log_event("started", data_centre=settings.data_centre)
        await _wait_for_stop(signals, instance, settings)
        log_event("stopping")
        await instance.stop()
    log_event("stopped")


async def _wait_for_stop(
    signals: SignalWaiter, instance: Gateway, settings: GatewaySettings
) -> None:
    """Wait until the instance must stop; apply changed settings meanwhile."""
    reloader = _SettingsReloader(instance=instance, settings=settings)
    async with TaskGroup(wait=any) as group:
        await group.spawn(_wait_for_stop_signal, signals, reloader)
        await group.spawn(reloader.watch)


async def _wait_for_stop_signal(signals: SignalWaiter, reloader: Any) -> None:
    while True:
        received: Signals = await signals.wait()
        if received is not SIGHUP:
            return
        reloader.read("signal")


class _SettingsReloader:
    """Applies changes of the settings file to a running instance."""

    def __init__(self, *, instance: Gateway, settings: GatewaySettings) -> None:
        self._instance = instance
        self._settings = settings

    async def watch(self) -> None:
        """Check the file for changes at regular intervals."""
        while True:
            await sleep(RELOAD_INTERVAL)
            self.read("file")

    def read(self, cause: str) -> None:
        """Read the file; keep the current settings if it is invalid."""
        try:
            settings = load_node_file(node_file_path())
        except SettingsError as error:
            log_event("reload-failed", cause=cause, why=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._instance.configure(settings)
        log_event("reloaded", cause=cause)


def run() -> None:
    """Run the command with the arguments of the command line."""
    # Imported late to speed up restarts: the platform starts the module directly.
    from defopt import run as run_command

    sys_exit(run_command(gateway))
