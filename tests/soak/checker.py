"""Checks recorded requests against the gateway's guarantees. Does no I/O."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from tests.soak.records import (
    AttemptRecord,
    RateLimitPeriod,
    Records,
    RequestKind,
    RunRecord,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
RECORD_BYTES = 16
RESTARTS = ("kill", "pause", "start")  # faults that excuse what is forgotten


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The limits that the checker applies.

    Those of the gateway have the values that the soak gives the gateway processes.

    :param top_k: records in a merged answer.
    :param least_share: lowest share of the shards that a merged answer may cover.
    :param max_attempts: backend servers of one service that may run a request.
    :param retry_ratio: extra attempts in a window, as a share of the requests.
    :param retry_slack: extra attempts allowed in a window in addition to that share.
    :param budget_window: seconds over which extra attempts are counted.
    :param drain_time: seconds after a backend server began to drain in which it may
        still get requests.
    :param apply_time: seconds until a published configuration is in use.
    :param regress_tolerance: seconds after the first use of a version in which requests
        may still use the one before.
    :param cancel_time: seconds until work ends whose caller has disconnected.
    :param settle_time: seconds without a fault after which time limits hold.
    :param grace: seconds that a stopping instance may take.
    :param limit_window: seconds over which requests to a server with a rate limit are
        counted.
    :param limit_factor: allowed multiple of the rate limit in that time.
    :param limit_slack: requests allowed in addition.
    :param limit_notice: seconds after its first answer with a limit from which an
        instance must keep to it.
    :param leave_notice: seconds after an answer that said that its server is leaving
        from which requests must not reach that server.
    :param pause_notice: seconds after an answer with a pause from which its instance
        must keep to it.
    :param pause_slack: requests that may reach the server from that instance all the
        same.
    """

    top_k: int = 5
    least_share: float = 0.75
    max_attempts: int = 2
    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    budget_window: float = 10.0
    drain_time: float = 3.0
    apply_time: float = 3.0
    settle_time: float = 4.0
    regress_tolerance: float = 0.25
    cancel_time: float = 0.5
    grace: float = 6.0
    limit_window: float = 4.0
    limit_factor: float = 1.5
    limit_slack: float = 5.0
    limit_notice: float = 0.5
    leave_notice: float = 0.5
    pause_notice: float = 0.5
    pause_slack: int = 2


class Checker:
    """Finds violations of the guarantees.

    :param timed: whether to check limits that depend on the computer's speed.
    """

    def __init__(self, *, records: Records, bounds: Bounds, timed: bool) -> None:
        self._records = records
        self._bounds = bounds
        self._timed = timed
        self._by_id: dict[str, list[RunRecord]] = defaultdict(list)
        self._by_signature: dict[str, RunRecord] = {}
        for run in records.runs:
            self._by_id[run.request_id].append(run)
            if run.signature:
                self._by_signature[run.signature] = run

    def violations(self) -> list[str]:
        """Return one line for each violation."""
        checks = [
            self._check_answers,
            self._check_duplicates,
            self._check_refused,
            self._check_sent,
            self._check_services,
            self._check_attempt_counts,
            self._check_budget,
            self._check_regress,
            self._check_exits,
            self._check_recovery,
        ]
        if self._timed:
            checks += [
                self._check_drain,
                self._check_apply,
                self._check_stops,
                self._check_abandoned,
                self._check_rate_limits,
                self._check_leaving,
                self._check_pauses,
            ]
        return [line for check in checks for line in check()]

    def _check_answers(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            if 200 <= attempt.status < 300:
                check = self._check_gathered if attempt.parts else self._check_forwarded
                problem = check(attempt)
                if problem:
                    yield f"answer: {attempt.request_id} {problem}"
            elif attempt.status and attempt.signature:
                run = self._by_signature.get(attempt.signature)
                if run is None or run.status != attempt.status:
                    status = run.status if run is not None else "no"
                    yield (
                        f"answer: {attempt.request_id} has status {attempt.status} and"
                        f" a signature of {status} status"
                    )

    def _check_forwarded(self, attempt: AttemptRecord) -> str:
        if attempt.kind is RequestKind.GATHER:
            return "is a merged answer without part signatures"
        run = self._by_signature.get(attempt.signature)
        if run is None or run.request_id != attempt.request_id:
            return f"has the signature {attempt.signature!r} of another request"
        if run.status != attempt.status or run.answer != attempt.answer:
            return "differs from the backend server's answer"
        return ""

    def _check_gathered(self, attempt: AttemptRecord) -> str:
        runs = [self._by_signature.get(signature) for signature in attempt.parts]
        services = set()
        records: list[bytes] = []
        for run in runs:
            if run is None or run.request_id != attempt.request_id or run.status != 200:
                return "has a part signature of another request"
            services.add(run.service)
            whole = len(run.answer) // RECORD_BYTES * RECORD_BYTES
            records += [
                run.answer[i : i + RECORD_BYTES] for i in range(0, whole, RECORD_BYTES)
            ]
        if len(services) != len(runs):
            return "has two parts of one service"
        sets = [set(version.shards) for version in self._records.versions]
        asked = len(runs) + attempt.missing
        if not any(services <= one and asked == len(one) for one in sets):
            return "matches no published set of shards"
        if len(runs) < self._bounds.least_share * asked:
            return f"covers only {len(runs)} of {asked} shards"
        best = b"".join(sorted(records, reverse=True)[: self._bounds.top_k])
        return "" if best == attempt.answer else "does not hold the top records"

    def _check_duplicates(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            ran = [run for run in self._by_id[attempt.request_id] if run.ran]
            if attempt.kind is RequestKind.ONCE and len(ran) > 1:
                servers = ", ".join(run.server for run in ran)
                yield f"duplicate: {attempt.request_id} ran on {servers}"

    def _check_refused(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            ran = any(run.ran for run in self._by_id[attempt.request_id])
            if attempt.status in NOT_RUN_STATUSES and ran:
                yield f"refused: {attempt.request_id} got {attempt.status} but ran"

    def _check_sent(self) -> Iterator[str]:
        by_id = {attempt.request_id: attempt for attempt in self._records.attempts}
        for run in self._records.runs:
            sent = by_id.get(run.request_id)
            if sent is None or (sent.method, sent.path, sent.body) != (
                run.method,
                run.path,
                run.body,
            ):
                yield (
                    f"unsolicited: {run.request_id} at {run.server}, {run.method}"
                    f" {run.path} from {run.instance}"
                )

    def _check_services(self) -> Iterator[str]:
        versions = self._records.versions
        allowed = {
            RequestKind.GATHER: {shard for v in versions for shard in v.shards},
            RequestKind.SAFE: {v.safe for v in versions},
            RequestKind.ONCE: {v.once for v in versions},
        }
        kinds = {attempt.request_id: attempt.kind for attempt in self._records.attempts}
        for run in self._records.runs:
            kind = kinds.get(run.request_id)
            if run.ran and kind is not None and run.service not in allowed[kind]:
                yield f"route: {run.request_id} ran on {run.service}"

    def _check_attempt_counts(self) -> Iterator[str]:
        over = 0
        for request_id, runs in self._by_id.items():
            servers: dict[str, set[str]] = defaultdict(set)
            for run in runs:
                if run.ran:
                    servers[run.service].add(run.server)
            if any(len(s) > self._bounds.max_attempts for s in servers.values()):
                over += 1
                if over > 3:
                    yield f"budget: {request_id} exceeded the maximum of servers"

    def _check_budget(self) -> Iterator[str]:
        bounds = self._bounds
        firsts: dict[str, list[float]] = defaultdict(list)
        extras: dict[str, list[float]] = defaultdict(list)
        for runs in self._by_id.values():
            seen = set()
            for run in sorted(runs, key=lambda one: one.arrived):
                arrivals = extras if run.service in seen else firsts
                arrivals[run.service].append(run.arrived)
                seen.add(run.service)
        for service, times in extras.items():
            times.sort()
            for end in times:
                start = end - bounds.budget_window
                extra = sum(start < t <= end for t in times)
                requests = max(
                    sum(start - back < t <= end - back for t in firsts[service])
                    for back in (0.0, bounds.budget_window / 2, bounds.budget_window)
                )
                if extra > bounds.retry_ratio * requests + bounds.retry_slack:
                    yield f"budget: {service} got {extra} extra attempts in a window"
                    break

    def _check_regress(self) -> Iterator[str]:
        """Check that no process of an instance goes back to an older version."""
        first = {}
        for version in self._records.versions:
            first.setdefault(version.once, version.number)
        seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for attempt in sorted(self._records.attempts, key=lambda one: one.sent):
            runs = self._by_id[attempt.request_id]
            if attempt.kind is not RequestKind.ONCE or not runs or attempt.parts:
                continue
            number = first.get(runs[0].service, 0)
            before = attempt.sent - self._bounds.regress_tolerance
            newest = max((n for t, n in seen[attempt.boot] if t < before), default=0)
            if number < newest:
                yield f"config: {attempt.boot} went back to version {number}"
            seen[attempt.boot].append((runs[0].arrived, number))

    def _check_exits(self) -> Iterator[str]:
        for line in self._records.exits:
            yield f"exit: {line}"

    def _check_recovery(self) -> Iterator[str]:
        records = self._records
        if records.probes and records.probes_failed > records.probes * 0.75:
            yield f"recovery: {records.probes_failed} of {records.probes} probes failed"

    def _undisturbed(self, instance: str, since: float, until: float) -> bool:
        """Return whether no fault affected ``instance`` or the store meanwhile."""
        return self._ran_well((instance, ""), since, until)

    def _ran_well(self, instances: tuple[str, ...], since: float, until: float) -> bool:
        """Return whether no fault of ``instances`` was recorded meanwhile."""
        start = since - self._bounds.settle_time
        return not any(
            window.instance in instances
            and window.began < until
            and window.ended > start
            for window in self._records.fault_windows
        )

    def _check_drain(self) -> Iterator[str]:
        started: dict[str, float] = {}
        for drain in self._records.drain_starts:
            started.setdefault(drain.server, drain.at)
        for run in self._records.runs:
            at = started.get(run.server)
            if at is None or run.arrived <= at + self._bounds.drain_time:
                continue
            if self._undisturbed(run.instance, at, run.arrived):
                wait = run.arrived - at
                yield f"drain: {run.request_id} sent to {run.server} after {wait:.1f} s"

    def _check_apply(self) -> Iterator[str]:
        versions = self._records.versions
        first = {}
        for version in versions:
            first.setdefault(version.once, version.number)
        for attempt in self._records.attempts:
            runs = self._by_id[attempt.request_id]
            if attempt.kind is not RequestKind.ONCE or not runs:
                continue
            due = attempt.sent - self._bounds.apply_time
            newest = max(
                (first[v.once] for v in versions if v.published < due), default=0
            )
            number = first.get(runs[0].service, 0)
            if number < newest and self._undisturbed(
                attempt.instance, due, attempt.sent
            ):
                yield f"config: {attempt.instance} used version {number}, not {newest}"

    def _check_stops(self) -> Iterator[str]:
        """Check that a planned stop interrupts no request that was forwarded."""
        for attempt in self._records.attempts:
            at = self._records.stops.get(attempt.boot)
            if (
                at is None
                or attempt.status
                or attempt.abandoned_at
                or not attempt.ended
            ):
                continue
            in_stop = at <= attempt.ended <= at + self._bounds.grace
            forwarded = bool(self._by_id[attempt.request_id])
            undisturbed = self._undisturbed(
                attempt.instance, attempt.sent, attempt.ended
            )
            if in_stop and forwarded and undisturbed:
                yield f"stop: {attempt.request_id} was interrupted by a planned stop"

    def _check_abandoned(self) -> Iterator[str]:
        """Check that work is cancelled when its caller disconnects."""
        working = 0
        total = 0
        for attempt in self._records.attempts:
            if not attempt.abandoned_at or attempt.kind is RequestKind.ONCE:
                continue
            if not self._undisturbed(
                attempt.instance, attempt.abandoned_at, attempt.abandoned_at + 1.0
            ):
                continue
            limit = attempt.abandoned_at + self._bounds.cancel_time
            runs = [run for run in self._by_id[attempt.request_id] if run.ran]
            over = [run for run in runs if run.ended > limit and not run.disconnected]
            total += bool(over) or any(run.disconnected for run in runs)
            working += bool(over)
        if working > 3 and working > total / 4:
            yield f"disconnect: work for {working} of {total} callers was not cancelled"

    def _check_leaving(self) -> Iterator[str]:
        """Check that servers that said that they leave get nothing more.

        What an instance has passed on binds it, and the one that gathered the shard.
        """
        known: dict[tuple[str, str], float] = {}
        sent = {}
        for attempt in self._records.attempts:
            sent[attempt.request_id] = attempt.sent
            for signature in (attempt.signature, *attempt.parts):
                run = self._by_signature.get(signature)
                if run is None or not run.leaving or not attempt.status:
                    continue
                for instance in (attempt.instance, run.instance):
                    key = instance, run.server
                    known[key] = min(attempt.ended, known.get(key, inf))
        for run in self._records.runs:
            at = known.get((run.instance, run.server), inf)
            if sent.get(run.request_id, 0.0) <= at + self._bounds.leave_notice:
                continue
            if not self._restarted(run.instance, at, run.arrived):
                yield (
                    f"leaving: {run.request_id} sent to {run.server}"
                    f" {run.arrived - at:.1f} s after it said so"
                )

    def _check_pauses(self) -> Iterator[str]:
        """Check that instances keep to the pauses that servers have asked them for."""
        bounds = self._bounds
        of_pair: dict[tuple[str, str, int], list[RunRecord]] = defaultdict(list)
        for run in self._records.runs:
            of_pair[run.instance, run.server, run.born].append(run)
        for (instance, server, _), runs in of_pair.items():
            for told in runs:
                if not told.pause or told.disconnected:
                    continue
                since = told.ended + bounds.pause_notice
                until = told.ended + told.pause
                count = sum(since < run.arrived < until for run in runs)
                if count > bounds.pause_slack and not self._restarted(
                    instance, told.ended, until
                ):
                    yield f"pause: {server} got {count} requests from {instance}"
                    break

    def _restarted(self, instance: str, since: float, until: float) -> bool:
        """Return whether ``instance`` was restarted or paused meanwhile."""
        return any(
            window.instance == instance
            and window.kind in RESTARTS
            and window.began < until
            and window.ended > since
            for window in self._records.fault_windows
        )

    def _check_rate_limits(self) -> Iterator[str]:
        """Check that instances together keep to the limits that they know."""
        bounds = self._bounds
        for period in self._records.rate_limits:
            allowed = (
                bounds.limit_factor * period.rate * bounds.limit_window
                + bounds.limit_slack
            )
            times = self._limited_arrivals(period)
            for end in times:
                count = sum(end - bounds.limit_window < t <= end for t in times)
                if count > allowed:
                    yield (
                        f"rate limit: {period.server} got {count} requests in"
                        f" {bounds.limit_window} s, {allowed} allowed"
                    )
                    break

    def _limited_arrivals(self, period: RateLimitPeriod) -> list[float]:
        """Return when undisturbed instances that knew the limit sent requests."""
        known: dict[str, float] = {}
        times = []
        runs = [run for run in self._records.runs if run.server == period.server]
        for run in sorted(runs, key=lambda one: one.arrived):
            if not period.began <= run.arrived <= period.ended:
                continue
            if run.status:
                known_at = known.get(run.instance, run.ended)
                known[run.instance] = min(known_at, run.ended)
            knows = known.get(run.instance, inf) + self._bounds.limit_notice
            is_settled = run.arrived >= period.began + self._bounds.settle_time
            if (
                is_settled
                and run.arrived >= knows
                and self._ran_well((run.instance,), run.arrived, run.arrived)
            ):
                times.append(run.arrived)
        return times
