"""Messages by which instances divide the rate limits of backend servers.

Times are ages in seconds, so that the clocks of two instances need not agree.
"""

from msgspec import Struct


class ServerLimit(Struct, frozen=True, kw_only=True):
    """The rate limit of one incarnation of a server, as an instance knows it.

    :param started: start time of the server in Unix milliseconds.
    :param rate: requests a second over all instances, or None if the limit has ended.
    :param age: seconds since a server's answer said so.
    """

    name: str
    started: int
    rate: float | None
    age: float


class RateClaim(Struct, frozen=True, kw_only=True):
    """What an instance knows and needs of the servers of one service.

    :param demand: requests a second that callers want to send, by priority.
    :param held: unused tokens of the instance, by server.
    :param waiting: requests of the instance that wait for a token.
    """

    service: str
    limits: tuple[ServerLimit, ...]
    demand: dict[int, float]
    held: dict[str, int] = {}
    waiting: int = 0


class ServerShare(Struct, frozen=True, kw_only=True):
    """The part of a server's limit that an instance may use.

    :param tokens: requests that the instance may send in addition to the tokens that it
        claimed to hold; negative if it must give some up.
    """

    limit: ServerLimit
    tokens: int


class RateShare(Struct, frozen=True, kw_only=True):
    """The answer to a claim.

    :param admitted: share of the requests for which the servers have room, from 0 to
        1, by priority.
    """

    service: str
    servers: tuple[ServerShare, ...]
    admitted: dict[int, float]


class RateClaims(Struct, frozen=True, kw_only=True):
    """The claims of one instance to the services of one coordinator.

    :param news: limits by service that lately began, ended or changed much.
    """

    instance: str
    claims: tuple[RateClaim, ...]
    news: dict[str, tuple[ServerLimit, ...]] = {}


class RateShares(Struct, frozen=True, kw_only=True):
    """The answers to the claims of one instance.

    Claims to services of which the answering instance is not the coordinator get none.

    :param known: limits by service that the answering instance knows, if there were
        neither claims nor news, as from an instance that has just started.
    """

    shares: tuple[RateShare, ...]
    known: dict[str, tuple[ServerLimit, ...]] = {}
