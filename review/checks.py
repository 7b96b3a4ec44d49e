"""The rules as RULES.md states them, on what clients and searchers saw."""

from site_standin import PROMISES
from traffic import SHARDS, TOP

RECORD_BYTES = 16
ALLOWED_CLOSES = 3  # of LOST


def twice(site, request_ids):
    """TWICE: a request that isn't idempotent runs more than once."""
    return [
        f"TWICE: {request_id} ran at {' and at '.join(site.runs[request_id])}"
        for request_id in request_ids
        if len(site.runs.get(request_id, ())) > 1
    ]


def refused(site, answers):
    """REFUSED: a request that isn't idempotent gets a promise and has run, or runs."""
    return [
        f"REFUSED: {answer.request_id} was answered {answer.status} and ran at"
        f" {' and at '.join(site.runs[answer.request_id])}"
        for answer in answers
        if answer.status in PROMISES and site.runs.get(answer.request_id)
    ]


def mixed(site, answers, least_share):
    """MIXED for requests over all shards."""
    broken = []
    for answer in answers:
        if not 200 <= answer.status < 300:
            continue
        if problem := _gathered_problem(site, answer, least_share):
            broken.append(f"MIXED: {answer.request_id}: {problem}")
    return broken


def _gathered_problem(site, answer, least_share):
    message = answer.message
    stamps = [
        stamp.strip()
        for value in message.all("savorypond-part-stamps")
        for stamp in value.split(",")
    ]
    missing = int(message.header("savorypond-missing-parts") or 0)
    records, services = [], set()
    for stamp in stamps:
        if stamp not in site.parts:
            return f"{stamp!r} is no receipt"
        service, request_id, good, body = site.parts[stamp]
        if request_id != answer.request_id:
            return f"{stamp} belongs to another request"
        if not good:
            return f"{stamp} is the receipt of a failure of {service}"
        if service in services:
            return f"two receipts of {service}"
        services.add(service)
        whole = len(body) - len(body) % RECORD_BYTES
        records += [body[n : n + RECORD_BYTES] for n in range(0, whole, RECORD_BYTES)]
    if not services or len(services) + missing != len(SHARDS):
        return f"{len(services)} parts and {missing} missing of {len(SHARDS)}"
    if len(services) < least_share * len(SHARDS) - 1e-9:
        return f"only {len(services)} parts"
    if message.body != b"".join(sorted(records, reverse=True)[:TOP]):
        return "the body is not the greatest records of the parts"
    return ""


def lost(site, answers, sound):
    """LOST, at any time: a machine passes a request from a kept connection on to a
    sound searcher and closes the connection without an answer, more than three times.

    :param sound: ids of the searchers that are sound all the time.
    """
    by_machine = {}
    for answer in answers:
        if answer.kept and answer.was_closed and sound & set(
            site.runs.get(answer.request_id, ())
        ):
            by_machine.setdefault(answer.zone, []).append(answer.request_id)
    return [
        f"LOST: the instance {zone} closed {len(closed)} kept connections without an"
        f" answer to a request that it had passed on; the first is {closed[0]}"
        for zone, closed in by_machine.items()
        if len(closed) > ALLOWED_CLOSES
    ]


def misrouted(site, services):
    """ROUTE: a request is run by a service to which no configuration lets it go.

    :param services: the only service of each route, by its prefix.
    """
    service_of = {searcher.id: searcher.service for searcher in site.searchers}
    broken = []
    for request_id, ran_at in site.runs.items():
        path = site.requests[request_id]
        allowed = {s for prefix, s in services.items() if path.startswith(prefix)}
        broken += [
            f"ROUTE: {request_id} for {path} ran at {searcher_id} of {service_of[searcher_id]}"
            for searcher_id in ran_at
            if service_of[searcher_id] not in allowed
        ]
    return broken
