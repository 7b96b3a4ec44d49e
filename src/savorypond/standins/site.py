"""Plans a site of stand-ins on loopback: addresses, service files, settings.

Every data centre has its own second octet in 127.0.0.0/8, so that a stand-in can
tell from the IP address of a peer whether it is in another data centre. Nothing
else listens on the IP addresses of a site.
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
_SERVER_OCTET = 1  # last octet of the backend servers of a data centre
_FIRST_INSTANCE_OCTET = 10  # last octet of the first instance
_CALLER_PORT = 8080
_PEER_PORT = 7400
_OPERATOR_PORT = 9090
_CONFIG_PORT = 7100
_LIST_PORT = 7200
_FIRST_SERVER_PORT = 7500
_MAX_TRIES = 50


class SiteInstance(BaseModel):
    """One entry instance of a site."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    data_centre: str
    host: str

    @property
    def caller_address(self) -> Address:
        """The address for callers."""
        return Address(host=self.host, port=_CALLER_PORT)

    @property
    def peer_address(self) -> Address:
        """The address for peers."""
        return Address(host=self.host, port=_PEER_PORT)

    @property
    def operator_address(self) -> Address:
        """The address for operators."""
        return Address(host=self.host, port=_OPERATOR_PORT)


class Site(BaseModel):
    """The configuration of a site, kept in ``SITE_FILE``.

    :param octets: second octet of the IP addresses of each data centre.
    :param link_delay: one-way seconds between two data centres.
    :param list_lag: seconds by which the instance list is out of date.
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
        """The address of the configuration service."""
        return Address(host=self.platform_host, port=_CONFIG_PORT)

    @property
    def instance_list(self) -> Address:
        """The address of the instance list."""
        return Address(host=self.platform_host, port=_LIST_PORT)

    def delay_between(self, first_host: str, second_host: str) -> float:
        """Return the one-way seconds between two IP addresses of the site."""
        return delay_of_link(first_host, second_host, delay=self.link_delay)


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
    """Write the files of a site into ``directory`` and return the site.

    :param services: directory of service files; they are copied with the addresses
        of the site.
    :param extra_settings: added to the settings of every instance.
    """
    loaded = load_service_files(services)
    data_centres = sorted(
        {s.data_centre for service in loaded.values() for s in service.backend_servers}
    )
    octets = {name: FIRST_DATA_CENTRE_OCTET + i for i, name in enumerate(data_centres)}
    third_octet = _find_free_octet(octets, Random())
    site = Site(
        fleet=services.resolve().name,
        octets=octets,
        link_delay=link_delay,
        list_lag=list_lag,
        service_mean=service_mean,
        service_scv=service_scv,
        seed=seed,
        platform_host=f"127.{_PLATFORM_OCTET}.{third_octet}.1",
        instances=tuple(
            _plan_instance(number, data_centres, octets, third_octet)
            for number in range(instances)
        ),
    )
    _write_services(services, directory / SERVICES_DIRECTORY, octets, third_octet)
    _write_settings(site, directory, extra_settings)
    text = safe_dump(site.model_dump(mode="json"), sort_keys=False)
    (directory / SITE_FILE).write_text(text)
    return site


def load_site(directory: Path) -> Site:
    """Load the site planned in ``directory``."""
    return Site.model_validate(safe_load((directory / SITE_FILE).read_text()))


def settings_path(directory: Path, instance: str) -> Path:
    """Return the path of the settings file of ``instance``."""
    return directory / f"{instance}.yaml"


def _plan_instance(
    number: int, data_centres: list[str], octets: dict[str, int], third_octet: int
) -> SiteInstance:
    data_centre = data_centres[number % len(data_centres)]
    host = f"127.{octets[data_centre]}.{third_octet}.{_FIRST_INSTANCE_OCTET + number}"
    return SiteInstance(name=f"entry-{number + 1}", data_centre=data_centre, host=host)


def _write_services(
    source: Path, target: Path, octets: dict[str, int], third_octet: int
) -> None:
    target.mkdir(parents=True, exist_ok=True)
    port = _FIRST_SERVER_PORT
    for path in sorted(source.glob("*.yaml")):
        content: dict[str, Any] = safe_load(path.read_text())
        for server in content["backend_servers"]:
            octet = octets[server["data_centre"]]
            server["address"] = f"127.{octet}.{third_octet}.{_SERVER_OCTET}:{port}"
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


def _find_free_octet(octets: dict[str, int], random: Random) -> int:
    """Return a third octet whose addresses have the ports of a site free."""
    for _ in range(_MAX_TRIES):
        third_octet = random.randint(1, 254)
        hosts = [f"127.{_PLATFORM_OCTET}.{third_octet}.1"]
        hosts += [f"127.{o}.{third_octet}.{_SERVER_OCTET}" for o in octets.values()]
        if all(_is_free(host) for host in hosts):
            return third_octet
    raise OSError("no free IP addresses on loopback")


def _is_free(host: str) -> bool:
    for port in (_CONFIG_PORT, _LIST_PORT, _FIRST_SERVER_PORT):
        with socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
