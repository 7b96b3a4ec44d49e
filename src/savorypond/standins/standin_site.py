"""Plans a site of stand-ins on loopback: addresses, service files, settings.

Every data centre has its own second octet in 127.0.0.0/8, so that a stand-in
can tell from a peer's IP number whether a link between data centres lies
between them. Nothing else listens on the IP numbers of a site.
"""

from collections.abc import Mapping
from pathlib import Path
from random import Random
from socket import socket
from typing import Any

from pydantic import BaseModel, ConfigDict
from yaml import safe_dump, safe_load

from savorypond.model import Address
from savorypond.peers.link_delay import (
    FIRST_DATA_CENTRE_OCTET,
    link_delay as delay_of_link,
)
from savorypond.services.loader import load_service_files

SITE_FILE = "site.yaml"
SERVICES_DIRECTORY = "services"
_PLATFORM_OCTET = 10
_SERVER_NUMBER = 1  # last octet of the stand-ins of a data centre
_FIRST_INSTANCE_NUMBER = 10  # last octet of the first instance
_CALLER_PORT = 8080
_PEER_PORT = 7400
_OPERATOR_PORT = 9090
_CONFIG_PORT = 7100
_LIST_PORT = 7200
_FIRST_SERVER_PORT = 7500
_TRIES = 50


class SiteInstance(BaseModel):
    """One entry instance of a site."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    data_centre: str
    host: str

    @property
    def caller_address(self) -> Address:
        """Where it listens for callers."""
        return Address(host=self.host, port=_CALLER_PORT)

    @property
    def peer_address(self) -> Address:
        """Where it listens for its peers."""
        return Address(host=self.host, port=_PEER_PORT)

    @property
    def operator_address(self) -> Address:
        """Where it listens for operators."""
        return Address(host=self.host, port=_OPERATOR_PORT)


class Site(BaseModel):
    """Everything that the stand-ins of one site need to know.

    :param octets: second octet of the IP numbers of each data centre.
    :param link_delay: one-way seconds between two data centres.
    :param list_lag: seconds by which the instance list lags.
    :param service_mean: mean service time in seconds.
    :param service_scv: squared coefficient of variation of service times.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    fleet: str
    octets: dict[str, int]
    link_delay: float
    list_lag: float
    service_mean: float
    service_scv: float
    seed: int
    platform_host: str
    instances: tuple[SiteInstance, ...]

    @property
    def config_service(self) -> Address:
        """Where the configuration service listens."""
        return Address(host=self.platform_host, port=_CONFIG_PORT)

    @property
    def instance_list(self) -> Address:
        """Where the instance list listens."""
        return Address(host=self.platform_host, port=_LIST_PORT)

    def delay_between(self, one: str, other: str) -> float:
        """Return the one-way seconds between two IP numbers of the site."""
        return delay_of_link(one, other, delay=self.link_delay)


def plan_site(
    *,
    services: Path,
    directory: Path,
    instances: int,
    link_delay: float,
    list_lag: float,
    service_mean: float,
    service_scv: float,
    seed: int,
    extra_settings: Mapping[str, object],
) -> Site:
    """Write a site's files into ``directory`` and return the site.

    :param services: directory of service files, whose addresses are replaced.
    :param extra_settings: settings put into every instance's file as they are.
    """
    loaded = load_service_files(services)
    centres = sorted(
        {s.data_centre for one in loaded.values() for s in one.backend_servers}
    )
    octets = {name: FIRST_DATA_CENTRE_OCTET + i for i, name in enumerate(centres)}
    third = _free_octet(octets, Random())
    site = Site(
        fleet=services.resolve().name,
        octets=octets,
        link_delay=link_delay,
        list_lag=list_lag,
        service_mean=service_mean,
        service_scv=service_scv,
        seed=seed,
        platform_host=f"127.{_PLATFORM_OCTET}.{third}.1",
        instances=tuple(
            _plan_instance(number, centres, octets, third)
            for number in range(instances)
        ),
    )
    _write_services(services, directory / SERVICES_DIRECTORY, octets, third)
    _write_settings(site, directory, extra_settings)
    text = safe_dump(site.model_dump(mode="json"), sort_keys=False)
    (directory / SITE_FILE).write_text(text)
    return site


def load_site(directory: Path) -> Site:
    """Return the site that was planned in ``directory``."""
    return Site.model_validate(safe_load((directory / SITE_FILE).read_text()))


def settings_path(directory: Path, instance: str) -> Path:
    """Return the settings file of an instance."""
    return directory / f"{instance}.yaml"


def _plan_instance(
    number: int, centres: list[str], octets: dict[str, int], third: int
) -> SiteInstance:
    centre = centres[number % len(centres)]
    host = f"127.{octets[centre]}.{third}.{_FIRST_INSTANCE_NUMBER + number}"
    return SiteInstance(name=f"entry-{number + 1}", data_centre=centre, host=host)


def _write_services(
    source: Path, target: Path, octets: dict[str, int], third: int
) -> None:
    target.mkdir(parents=True, exist_ok=True)
    port = _FIRST_SERVER_PORT
    for path in sorted(source.glob("*.yaml")):
        content: dict[str, Any] = safe_load(path.read_text())
        for server in content["backend_servers"]:
            octet = octets[server["data_centre"]]
            server["address"] = f"127.{octet}.{third}.{_SERVER_NUMBER}:{port}"
            port += 1
        (target / path.name).write_text(safe_dump(content, sort_keys=False))


def _write_settings(
    site: Site, directory: Path, extra_settings: Mapping[str, object]
) -> None:
    for instance in site.instances:
        content = {
            "name": instance.name,
            "fleet": site.fleet,
            "data_centre": instance.data_centre,
            "caller_address": str(instance.caller_address),
            "peer_address": str(instance.peer_address),
            "operator_address": str(instance.operator_address),
            "config_service": str(site.config_service),
            "instance_list": str(site.instance_list),
            "emulated_link_delay": f"{site.link_delay * 1000:g}ms",
            **extra_settings,
        }
        path = settings_path(directory, instance.name)
        path.write_text(safe_dump(content, sort_keys=False))


def _free_octet(octets: dict[str, int], random: Random) -> int:
    """Return a third octet under which nobody listens on the ports of a site."""
    for _ in range(_TRIES):
        third = random.randint(1, 254)
        hosts = [f"127.{_PLATFORM_OCTET}.{third}.1"]
        hosts += [f"127.{o}.{third}.{_SERVER_NUMBER}" for o in octets.values()]
        if all(_is_free(host) for host in hosts):
            return third
    raise OSError("no free IP numbers on loopback")


def _is_free(host: str) -> bool:
    for port in (_CONFIG_PORT, _LIST_PORT, _FIRST_SERVER_PORT):
        with socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
