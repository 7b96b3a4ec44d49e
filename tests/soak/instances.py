"""The gateway processes of the soak.

Signals go only to the processes started here, by their process ids.
"""

from os import environ
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from subprocess import DEVNULL, Popen
from sys import executable
from time import monotonic

from savorypond.platform.names import SETTINGS_VARIABLE

_NODE_FILE = """
node_name = "{name}"
ip = "{ip}"
zone = "{data_centre}"
internal_ports = [7380, 7395]
seeds = [{seeds}]
[listen_addrs]
front = "{ip}:8104"
ready = "{ip}:8108"
control = "{ip}:8106"
[limits]
max_fds = 1000
[bounds]
drain_ms = 3000
grace_s = {grace}
retry_budget_ratio = 0.2
retry_budget_slack = {slack}
budget_window_s = 10
[platform]
address = "{store}"
"""


class SoakInstance:
    """One gateway process, which is restarted whenever it ends.

    :param store: address of the proxy between the process and the store.
    """

    def __init__(self, *, name, ip, data_centre, seeds, store, folder, bounds):
        self.name = name
        self.ip = ip
        self.restart_on_exit = True
        self.stopping = False
        self.paused = False
        self.was_ready = False
        self._boots = 0
        self._process = None
        self._log = Path(folder) / f"{name}.log"
        self._settings = Path(folder) / f"{name}.toml"
        self._values = {
            "name": name,
            "ip": ip,
            "data_centre": data_centre,
            "seeds": ", ".join(f'"{seed}:8106"' for seed in seeds),
            "store": store,
            "grace": int(bounds.grace),
            "slack": bounds.retry_slack,
        }

    @property
    def boot(self):
        """Name of the current process, with the number of its start."""
        return f"{self.name}#{self._boots}"

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def write_settings(self, **changes):
        """Write the settings file, with ``changes`` to the values."""
        self._values.update(changes)
        self._settings.write_text(_NODE_FILE.format(**self._values))

    def start(self):
        """Start the process."""
        self.write_settings()
        self._boots += 1
        self.stopping = False
        self.paused = False
        self.was_ready = False
        self.started = monotonic()
        settings = {**environ, SETTINGS_VARIABLE: str(self._settings)}
        with self._log.open("ab") as log:
            self._process = Popen(
                [executable, "-m", "savorypond.gateway"],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=settings,
            )

    def send(self, signal):
        """Send ``signal`` to the process if it still runs."""
        if self.running:
            self._process.send_signal(signal)
            if signal is SIGSTOP:
                self.paused = True
            elif signal is SIGCONT:
                self.paused = False

    def end(self):
        """Kill the process and reap it."""
        if self._process is not None:
            if self.running:
                self._process.send_signal(SIGKILL)
            self._process.wait()

    @property
    def status(self):
        """Exit status of the process, None while it runs."""
        return self._process.poll() if self._process is not None else None

    @property
    def exited_cleanly(self):
        """Whether a process that was stopped or killed has an expected exit status.

        A process that is stopped while its libraries load has no signal handler yet;
        SIGTERM ends it, and no work is lost.
        """
        allowed = (0, -SIGKILL) if self.was_ready else (0, -SIGKILL, -SIGTERM)
        return self.status in allowed
