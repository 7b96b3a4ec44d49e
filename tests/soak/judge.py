"""Checks the promises on what a soak saw. No I/O; each check names what it found."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from tests.soak.records import AttemptRecord, Kind, Records, RunRecord

PROMISED_NOT_RUN = (408, 421, 429, 503)
RECORD_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The bounds that the instances were given.

    :param calm: seconds without trouble after which time bounds hold.
    :param grace: seconds that a stopping instance has.
    """

    top: int = 5
    least_share: float = 0.75
    max_attempts: int = 2
    ratio: float = 0.2
    slack: float = 10.0
    window: float = 10.0
    drain: float = 3.0
    apply: float = 3.0
    calm: float = 4.0
    downgrade_slack: float = 0.25
    gone: float = 0.5
    grace: float = 6.0


class Judge:
    """Finds broken promises.

    :param timed: whether to check bounds that depend on the computer's speed.
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

    def findings(self) -> list[str]:
        """Return every broken promise, one line each."""
        checks = [
            self._check_answers,
            self._check_once,
            self._check_promises,
            self._check_asked,
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
                self._check_left,
            ]
        return [line for check in checks for line in check()]

    def _check_answers(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            if 200 <= attempt.status < 300:
                good = self._check_gathered if attempt.parts else self._check_passed
                problem = good(attempt)
                if problem:
                    yield f"mixed: {attempt.request_id} {problem}"

    def _check_passed(self, attempt: AttemptRecord) -> str:
        if attempt.kind is Kind.GATHER:
            return "is merged but names no parts"
        run = self._by_signature.get(attempt.signature)
        if run is None or run.request_id != attempt.request_id:
            return f"has a foreign signature {attempt.signature!r}"
        if run.status != attempt.status or run.answer != attempt.answer:
            return "is not its server's whole answer"
        return ""

    def _check_gathered(self, attempt: AttemptRecord) -> str:
        runs = [self._by_signature.get(signature) for signature in attempt.parts]
        services = set()
        records: list[bytes] = []
        for run in runs:
            if run is None or run.request_id != attempt.request_id or run.status != 200:
                return "names a part that is none of this request"
            services.add(run.service)
            whole = len(run.answer) // RECORD_BYTES * RECORD_BYTES
            records += [
                run.answer[i : i + RECORD_BYTES] for i in range(0, whole, RECORD_BYTES)
            ]
        if len(services) != len(runs):
            return "names two parts of one service"
        sets = [set(version.shards) for version in self._records.versions]
        asked = len(runs) + attempt.missing
        if not any(services <= one and asked == len(one) for one in sets):
            return "is of no set of shards that was published"
        if len(runs) < self._bounds.least_share * asked:
            return f"holds {len(runs)} of {asked} shards only"
        best = b"".join(sorted(records, reverse=True)[: self._bounds.top])
        return "" if best == attempt.answer else "is not the greatest records"

    def _check_once(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            ran = [run for run in self._by_id[attempt.request_id] if run.ran]
            if attempt.kind is Kind.ONCE and len(ran) > 1:
                servers = ", ".join(run.server for run in ran)
                yield f"twice: {attempt.request_id} ran at {servers}"

    def _check_promises(self) -> Iterator[str]:
        for attempt in self._records.attempts:
            ran = any(run.ran for run in self._by_id[attempt.request_id])
            if attempt.status in PROMISED_NOT_RUN and ran:
                yield f"refused: {attempt.request_id} got {attempt.status} and ran"

    def _check_asked(self) -> Iterator[str]:
        sent = {attempt.request_id: attempt for attempt in self._records.attempts}
        for run in self._records.runs:
            asked = sent.get(run.request_id)
            if asked is None or (asked.method, asked.path, asked.body) != (
                run.method,
                run.path,
                run.body,
            ):
                yield f"unasked: {run.request_id} at {run.server}"

    def _check_services(self) -> Iterator[str]:
        versions = self._records.versions
        allowed = {
            Kind.GATHER: {shard for v in versions for shard in v.shards},
            Kind.SAFE: {v.safe for v in versions},
            Kind.ONCE: {v.once for v in versions},
        }
        kinds = {attempt.request_id: attempt.kind for attempt in self._records.attempts}
        for run in self._records.runs:
            kind = kinds.get(run.request_id)
            if run.ran and kind is not None and run.service not in allowed[kind]:
                yield f"route: {run.request_id} ran at {run.service}"

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
                    yield f"budget: {request_id} ran on too many servers"

    def _check_budget(self) -> Iterator[str]:
        bounds = self._bounds
        firsts: dict[str, list[float]] = defaultdict(list)
        extras: dict[str, list[float]] = defaultdict(list)
        for runs in self._by_id.values():
            seen = set()
            for run in sorted(runs, key=lambda one: one.arrived):
                into = extras if run.service in seen else firsts
                into[run.service].append(run.arrived)
                seen.add(run.service)
        for service, times in extras.items():
            times.sort()
            for end in times:
                began = end - bounds.window
                extra = sum(began < t <= end for t in times)
                requests = max(
                    sum(began - back < t <= end - back for t in firsts[service])
                    for back in (0.0, bounds.window / 2, bounds.window)
                )
                if extra > bounds.ratio * requests + bounds.slack:
                    yield f"budget: {service} got {extra} extra sends in a window"
                    break

    def _check_regress(self) -> Iterator[str]:
        """Check that no boot of an instance goes back to an older version."""
        first = {}
        for version in self._records.versions:
            first.setdefault(version.once, version.number)
        seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for attempt in sorted(self._records.attempts, key=lambda one: one.sent):
            runs = self._by_id[attempt.request_id]
            if attempt.kind is not Kind.ONCE or not runs or attempt.parts:
                continue
            number = first.get(runs[0].service, 0)
            before = attempt.sent - self._bounds.downgrade_slack
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
            yield f"recover: {records.probes_failed} of {records.probes} failed at last"

    def _calm(self, instance: str, since: float, until: float) -> bool:
        """Return whether nothing befell ``instance`` or the store meanwhile."""
        began = since - self._bounds.calm
        return not any(
            trouble.instance in ("", instance)
            and trouble.began < until
            and trouble.ended > began
            for trouble in self._records.troubles
        )

    def _check_drain(self) -> Iterator[str]:
        left: dict[str, float] = {}
        for leaving in self._records.leavings:
            left.setdefault(leaving.server, leaving.at)
        for run in self._records.runs:
            at = left.get(run.server)
            if at is None or run.arrived <= at + self._bounds.drain:
                continue
            if self._calm(run.instance, at, run.arrived):
                late = run.arrived - at
                yield f"drain: {run.request_id} reached {run.server} {late:.1f} s later"

    def _check_apply(self) -> Iterator[str]:
        versions = self._records.versions
        first = {}
        for version in versions:
            first.setdefault(version.once, version.number)
        for attempt in self._records.attempts:
            runs = self._by_id[attempt.request_id]
            if attempt.kind is not Kind.ONCE or not runs:
                continue
            due = attempt.sent - self._bounds.apply
            must = max(
                (first[v.once] for v in versions if v.published < due), default=0
            )
            number = first.get(runs[0].service, 0)
            if number < must and self._calm(attempt.instance, due, attempt.sent):
                yield f"config: {attempt.instance} used version {number}, not {must}"

    def _check_stops(self) -> Iterator[str]:
        """Check that a planned stop cuts no request that was passed on."""
        for attempt in self._records.attempts:
            at = self._records.stops.get(attempt.boot)
            if at is None or attempt.status or attempt.left or not attempt.ended:
                continue
            in_stop = at <= attempt.ended <= at + self._bounds.grace
            passed_on = bool(self._by_id[attempt.request_id])
            calm = self._calm(attempt.instance, attempt.sent, attempt.ended)
            if in_stop and passed_on and calm:
                yield f"lost: {attempt.request_id} was cut by a planned stop"

    def _check_left(self) -> Iterator[str]:
        """Check that work ends when its caller leaves."""
        working = 0
        total = 0
        for attempt in self._records.attempts:
            if not attempt.left or attempt.kind is Kind.ONCE:
                continue
            if not self._calm(attempt.instance, attempt.left, attempt.left + 1.0):
                continue
            limit = attempt.left + self._bounds.gone
            runs = [run for run in self._by_id[attempt.request_id] if run.ran]
            over = [run for run in runs if run.ended > limit and not run.gone]
            total += bool(over) or any(run.gone for run in runs)
            working += bool(over)
        if working > 3 and working > total / 4:
            yield f"gone: work for {working} of {total} callers went on after they left"
