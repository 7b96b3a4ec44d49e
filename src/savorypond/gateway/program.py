"""The program savorypond-gateway: runs one gateway instance on the platform."""

from signal import SIGHUP, SIGINT, SIGTERM, Signals
from sys import exit as sys_exit, stderr, stdout
from typing import Any

from curio import TaskGroup, run as run_curio, sleep

from savorypond.exceptions import SettingsError
from savorypond.gateway.boundedlog import open_bounded_log
from savorypond.gateway.daemon import Gateway
from savorypond.gateway.settings import GatewaySettings
from savorypond.logs import LogFormat, log_event, set_up_logs
from savorypond.platform.names import HEADERS, READY_PATH
from savorypond.platform.node_file import load_node_file, node_file_path
from savorypond.platform.store import PlatformStore
from savorypond.signals import SignalWait

EXIT_BAD_SETTINGS = 2
RELOAD_INTERVAL = 1.0  # seconds between two looks at the settings file


def gateway() -> int:
    """Run one gateway instance. SIGTERM and SIGINT stop it after a drain.

    The settings file is named by the platform's environment variable; SIGHUP and
    any change of the file make the instance read it again.
    """
    try:
        settings = load_node_file(node_file_path())
    except SettingsError as error:
        print(error, file=stderr)
        return EXIT_BAD_SETTINGS
    set_up_logs(
        log_format=LogFormat.JSON,
        instance=settings.name,
        stream=open_bounded_log(stdout.fileno()),
    )
    run_curio(_serve, settings)
    return 0


async def _serve(settings: GatewaySettings) -> None:
    signals = SignalWait(signals=(SIGTERM, SIGINT, SIGHUP))
    store = PlatformStore(address=settings.store_address, source_host=settings.host)
    async with (
        signals,
        Gateway(
            settings=settings, names=HEADERS, source=store, ready_path=READY_PATH
        ) as instance,
    ):
        log_event("started", data_centre=settings.data_centre)
        await _wait_stop(signals, instance, settings)
        log_event("stopping")
        await instance.stop()
    log_event("stopped")


async def _wait_stop(
    signals: SignalWait, instance: Gateway, settings: GatewaySettings
) -> None:
    """Return once the instance is to stop; apply changed settings until then."""
    reload = _Reload(instance=instance, settings=settings)
    async with TaskGroup(wait=any) as group:
        await group.spawn(_wait_signal, signals, reload)
        await group.spawn(reload.watch)


async def _wait_signal(signals: SignalWait, reload: Any) -> None:
    while True:
        received: Signals = await signals.wait()
        if received is not SIGHUP:
            return
        reload.read("signal")


class _Reload:
    """Applies changes of the settings file."""

    def __init__(self, *, instance: Gateway, settings: GatewaySettings) -> None:
        self._instance = instance
        self._settings = settings

    async def watch(self) -> None:
        """Look for changes again and again."""
        while True:
            await sleep(RELOAD_INTERVAL)
            self.read("file")

    def read(self, cause: str) -> None:
        """Read the file; keep the settings in force where it cannot be used."""
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
    """Run the program with the arguments of the command line."""
    # A restart is over sooner without this library, which the platform never needs.
    from defopt import run as run_command

    sys_exit(run_command(gateway))
