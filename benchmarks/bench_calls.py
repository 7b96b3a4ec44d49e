"""Compares schemes that run a call at most once, under faults and resends.

Each row is one scheme under one kind of fault, all with the same seed. It counts work
that ran twice, refusals as not run although the work had run, and the other answers
that callers got in place of a result although a backend server was always up.
"""

from functools import partial
from random import Random

from benchmarks.calls_model import DURATION, INSTANCES, MAX_TICKET_AGE, Model
from benchmarks.calls_pruning import print_pruning
from benchmarks.calls_schemes import KeyLedger, Scheme
from savorypond.calls.ledger import TicketLedger

SEED = 8409
KILLED = 100  # instances
PAUSED = 20  # instances


class AcceptsAfterPause(TicketLedger):
    """Accepts tickets of earlier incarnations."""

    def raise_incarnation(self, incarnation: int) -> int:
        return 0


class ReopensRefused(TicketLedger):
    """Lets a ticket that was refused as not run be claimed again."""

    def refuse(self, ticket, refusal):
        self.release_claim(ticket)
        return refusal


SCHEMES = [
    Scheme(name="a hashed key", ledger_type=KeyLedger, by_key=True),
    Scheme(name="b ticket", ledger_type=TicketLedger),
    Scheme(name="b, impatient callers", ledger_type=TicketLedger, impatient=True),
    Scheme(
        name="  not void after pause", ledger_type=AcceptsAfterPause, impatient=True
    ),
    Scheme(name="b, reopened if refused", ledger_type=ReopensRefused),
]


def random_time(random: Random) -> float:
    return random.uniform(MAX_TICKET_AGE, MAX_TICKET_AGE + DURATION)


def no_fault(model: Model, random: Random) -> None:
    """Inject no further fault: only lost answers, failed connects and resends."""


def kill(model: Model, random: Random) -> None:
    for name in random.sample(sorted(model.members), KILLED):
        model.at(random_time(random), partial(model.kill, name))


def pause(model: Model, random: Random) -> None:
    for name in random.sample(sorted(model.members), PAUSED):
        model.at(random_time(random), partial(model.suspend, name))


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
                print(
                    f"{'fault':20}{'scheme':27}" + "".join(f"{h:>10}" for h in header)
                )
            row = "".join(f"{figures[h]:>10}" for h in header)
            print(f"{fault.__name__:20}{scheme.name:27}{row}")


if __name__ == "__main__":
    print_schemes()
    print_pruning()
