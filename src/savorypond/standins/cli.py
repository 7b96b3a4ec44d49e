"""The program savorypond-standin: stand-ins for backend servers and the platform."""

from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from signal import SIGINT, SIGTERM
from sys import exit as sys_exit, stderr
from time import monotonic
from urllib.parse import quote

from curio import run as run_curio
from defopt import run as run_command
from msgspec.json import decode, encode

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address, BackendServer, Service
from savorypond.services.loader import load_service_files
from savorypond.signals import SignalWaiter
from savorypond.standins.backend_server import (
    HeldSnapshots,
    LognormalServiceTime,
    StandinBackendServer,
)
from savorypond.standins.platform import (
    VALUES_PATH,
    ListedInstance,
    StandinConfigService,
    StandinInstanceList,
)
from savorypond.standins.site import (
    SERVICES_DIRECTORY,
    Site,
    load_site,
    plan_site,
)
from savorypond.tools.bundle import Publication

EXIT_FAILED = 1
_MS_PER_SECOND = 1000.0


def plan(
    services: Path,
    directory: Path,
    *,
    instances: int = 3,
    link_ms: float = 0.0,
    list_lag: float = 1.0,
    service_ms: float = 5.0,
    service_scv: float = 1.0,
    seed: int = 1,
    placement: str = "owner",
) -> int:
    """Plan a site on loopback and write its service files and settings.

    :param services: directory of service files.
    :param directory: directory for the files of the site; created if missing.
    :param instances: number of entry instances, spread over the data centres.
    :param link_ms: one-way milliseconds between two data centres.
    :param list_lag: seconds by which the instance list is out of date.
    :param service_ms: mean service time of backend servers in milliseconds.
    :param service_scv: squared coefficient of variation of service times.
    :param seed: seed of the stand-ins' random numbers.
    :param placement: direct, static or owner.
    """
    directory.mkdir(parents=True, exist_ok=True)
    site = plan_site(
        services=services,
        directory=directory,
        instances=instances,
        link_delay=link_ms / _MS_PER_SECOND,
        list_lag=list_lag,
        service_mean=service_ms / _MS_PER_SECOND,
        service_scv=service_scv,
        seed=seed,
        extra_settings={"placement": placement},
    )
    for instance in site.instances:
        print(f"{instance.name} {instance.data_centre} {instance.caller_address}")
    return 0


def serve(directory: Path, *, data_centre: str = "", platform: bool = True) -> int:
    """Run the stand-ins of a planned site until SIGTERM or SIGINT.

    :param directory: directory of the site.
    :param data_centre: run only the backend servers of this data centre; with
        "none", run none.
    :param platform: run the configuration service and the instance list too.
    """
    run_curio(_serve, load_site(directory), directory, data_centre, platform)
    return 0


def put(address: str, path: str, file: Path) -> int:
    """Send a file in a PUT request.

    :param address: IP address and port.
    :param path: path of the resource.
    :param file: file to send as the body.
    """
    host, _, port = address.rpartition(":")
    request = HttpRequest(method="PUT", path=path, body=file.read_bytes())
    try:
        response = run_curio(_send, Address(host=host, port=int(port)), request)
    except BackendServerError as error:
        print(error, file=stderr)
        return EXIT_FAILED
    if response.status >= 300:
        print(f"{path}: status {response.status}", file=stderr)
        return EXIT_FAILED
    return 0


def publish(directory: Path, publication: Path) -> int:
    """Put the values of a publication into a site's configuration service.

    :param directory: directory of the site.
    :param publication: file that savorypond-bundle wrote with --values.
    """
    address = load_site(directory).config_service
    content = decode(publication.read_bytes(), type=Publication)
    for published in content.values:
        body = encode({"revision": content.revision, "value": published.value})
        path = VALUES_PATH + quote(published.key)
        response = run_curio(
            _send, address, HttpRequest(method="PUT", path=path, body=body)
        )
        if response.status != 204:
            print(f"{published.key}: status {response.status}", file=stderr)
            return EXIT_FAILED
    return 0


async def _send(address: Address, request: HttpRequest) -> HttpResponse:
    async with HttpConnection(address=address) as connection:
        return await connection.request(request)


async def _serve(site: Site, directory: Path, data_centre: str, platform: bool) -> None:
    services = load_service_files(directory / SERVICES_DIRECTORY)
    snapshots = HeldSnapshots()
    signals = SignalWaiter(signals=(SIGTERM, SIGINT))
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(signals)
        if platform:
            await _start_platform(site, stack)
        for service in services.values():
            for server in service.backend_servers:
                if data_centre in ("", server.data_centre):
                    standin = _standin_server(site, service, server, snapshots)
                    await stack.enter_async_context(standin)
        print("serving", flush=True)
        await signals.wait()


async def _start_platform(site: Site, stack: AsyncExitStack) -> None:
    config_service = StandinConfigService(address=site.config_service)
    instance_list = StandinInstanceList(
        address=site.instance_list, lag=site.list_lag, now=monotonic
    )
    instance_list.replace(
        tuple(
            ListedInstance(
                name=instance.name,
                data_centre=instance.data_centre,
                peer_address=str(instance.peer_address),
                operator_address=str(instance.operator_address),
            )
            for instance in site.instances
        )
    )
    await stack.enter_async_context(config_service)
    await stack.enter_async_context(instance_list)


def _standin_server(
    site: Site, service: Service, server: BackendServer, snapshots: HeldSnapshots
) -> StandinBackendServer:
    host = server.address.host
    return StandinBackendServer(
        name=server.name,
        address=server.address,
        service=service,
        snapshots=snapshots,
        random=Random(f"{site.seed} {server.name}"),
        service_time=LognormalServiceTime(mean=site.service_mean, scv=site.service_scv),
        link_delay=lambda peer: site.delay_between(host, peer),
        now=monotonic,
    )


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command([plan, serve, put, publish]))
