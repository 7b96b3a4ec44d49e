"""Compares ways to run a call at most once, under faults and resends.

Each row is one way under one set of faults, all with the same seed: pieces of work
that ran twice, refusals as not run of work that had run, and what callers were told
in place of a result although a backend server was up all the time.
"""

from functools import partial
from random import Random

from benchmarks.calls_model import DURATION, INSTANCES, STOCK_AGE, Model
from benchmarks.calls_pruning import print_pruning
from benchmarks.calls_schemes import KeyLedger, Scheme
from savorypond.calls.ledger import TicketLedger

SEED = 8409
KILLED = 100  # instances
PAUSED = 20  # instances


class RunsAfterPause(TicketLedger):
    """Lets tickets of earlier incarnations run."""

    def raise_incarnation(self, incarnation: int) -> int:
        return 0


class ReopensRefused(TicketLedger):
    """Lets a ticket run that was refused as not run."""

    def refuse(self, ticket, refusal):
        self.release_claim(ticket)
        return refusal


SCHEMES = [
    Scheme(name="a hashed key", ledger_type=KeyLedger, by_key=True),
    Scheme(name="b ticket", ledger_type=TicketLedger),
    Scheme(name="b, hasty callers", ledger_type=TicketLedger, hasty=True),
    Scheme(name="  not void after pause", ledger_type=RunsAfterPause, hasty=True),
    Scheme(name="b, reopened if refused", ledger_type=ReopensRefused),
]


def some_time(random: Random) -> float:
    return random.uniform(STOCK_AGE, STOCK_AGE + DURATION)


def no_fault(model: Model, random: Random) -> None:
    """Leave only lost answers, failed connects and resends."""


def kill(model: Model, random: Random) -> None:
    for name in random.sample(sorted(model.members), KILLED):
        model.at(some_time(random), partial(model.kill, name))


def pause(model: Model, random: Random) -> None:
    for name in random.sample(sorted(model.members), PAUSED):
        model.at(some_time(random), partial(model.freeze, name))


def partition(model: Model, random: Random) -> None:
    model.at(45.0, partial(model.split, heal=False))
    model.at(75.0, partial(model.split, heal=True))


def pause_and_partition(model: Model, random: Random) -> None:
    pause(model, random)
    partition(model, random)


FAULTS = [no_fault, kill, pause, partition, pause_and_partition]


def print_schemes() -> None:
    print(f"{INSTANCES} instances, {KILLED} killed, {PAUSED} paused; seed {SEED}")
    header: list[str] = []
    for fault in FAULTS:
        for scheme in SCHEMES:
            model = Model(scheme=scheme, seed=SEED)
            fault(model, Random(SEED))
            figures = model.run().summary()
            if not header:
                header = list(figures)
                print(f"{'fault':20}{'way':27}" + "".join(f"{h:>10}" for h in header))
            row = "".join(f"{figures[h]:>10}" for h in header)
            print(f"{fault.__name__:20}{scheme.name:27}{row}")


if __name__ == "__main__":
    print_schemes()
    print_pruning()
