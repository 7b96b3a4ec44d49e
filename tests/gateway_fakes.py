"""Fakes of the collaborators of the gateway's decision modules."""

from random import Random

from savorypond.gateway.rate_control import RateControl
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.servers import RegisteredServer
from savorypond.model import Address, Counters
from savorypond.platform.names import HEADERS


def server(
    name,
    *,
    service="s",
    port=8000,
    host="127.0.0.1",
    data_centre="a",
    slots=2,
    leaving=False,
    cold_for=0.0,
    started=1,
):
    return RegisteredServer(
        name=name,
        service=service,
        address=Address(host=host, port=port),
        data_centre=data_centre,
        slots=slots,
        leaving=leaving,
        cold_for=cold_for,
        started=started,
    )


def make_rates():
    return RateControl(random=Random(1), counters=Counters())


def make_notices():
    return ServerNotices(
        names=HEADERS, random=Random(1), wall_time=lambda: 0.0, counters=Counters()
    )


class FixedRandom:
    """Returns the middle of every range."""

    def random(self):
        return 0.5

    def uniform(self, low, high):
        return (low + high) / 2


class FakeChooser:
    """Chooses the first listed server that is not excluded.

    :param remote: names of the servers in another data centre.
    """

    def __init__(self, services, remote=()):
        self.services = services
        self.remote = remote

    def choose(self, service, *, exclude, now):
        for candidate in self.services.get(service, ()):
            if candidate.name not in exclude:
                return candidate
        return None

    def count(self, service):
        return len(self.services.get(service, ()))

    def is_remote(self, server):
        return server.name in self.remote


class FakeRetryBudget:
    """Allows a fixed number of extra attempts."""

    def __init__(self, remaining=1000):
        self.remaining = remaining

    def try_spend(self, *, service, now):
        if not self.remaining:
            return False
        self.remaining -= 1
        return True

    def refund(self, *, service):
        self.remaining += 1
