from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.calls.issuer import TicketIssuer, new_incarnation
from savorypond.calls.routing import Forward, RunLocally, route_ticket
from savorypond.calls.tickets import (
    Ticket,
    TicketLimits,
    TicketSigner,
    decode_ticket,
    encode_ticket,
)
from savorypond.exceptions import RequestRefused, TicketError
from savorypond.model import Address, Instance, InstanceState
from savorypond.reasons import Execution, RefusalReason

LIMITS = TicketLimits(lifetime=10.0, grace=5.0, max_outstanding=100)


def make_issuer(seed=1):
    return TicketIssuer(
        instance="entry-1",
        incarnation=7,
        fleet="baric",
        signer=TicketSigner(key=Random(seed).randbytes(32)),
        limits=LIMITS,
    )


class Peers:
    def __init__(self, *instances):
        self._instances = {i.name: i for i in instances}

    def find(self, name):
        return self._instances.get(name)


def make_peer(name, state):
    address = Address(host="127.0.0.1", port=1)
    return Instance(
        name=name,
        data_centre="split",
        peer_address=address,
        incarnation=9,
        state=state,
    )


class TicketTextTests(TestCase):
    @given(
        instance=st.text(min_size=1, max_size=30),
        incarnation=st.integers(0, 2**62),
        number=st.integers(0, 2**40),
        expires_ms=st.integers(0, 2**50),
        signature=st.binary(min_size=12, max_size=12),
    )
    def test_encoding_round_trip(self, **fields):
        ticket = Ticket(fleet=3, **fields)
        self.assertEqual(decode_ticket(encode_ticket(ticket)), ticket)

    @given(st.text(max_size=300))
    def test_other_text_raises_ticket_error_or_fails_verification(self, text):
        try:
            ticket = decode_ticket(text)
        except TicketError:
            return
        self.assertFalse(TicketSigner(key=bytes(32)).verify(ticket))

    @given(st.data())
    def test_a_changed_character_never_passes_verification(self, data):
        key = Random(1).randbytes(32)
        text = encode_ticket(make_issuer().issue(now=0.0)[0])
        position = data.draw(st.integers(0, len(text) - 1))
        replacement = data.draw(
            st.sampled_from("AZaz09-_").filter(lambda c: c != text[position])
        )
        try:
            changed = decode_ticket(
                text[:position] + replacement + text[position + 1 :]
            )
        except TicketError:
            return
        self.assertFalse(TicketSigner(key=key).verify(changed))


class IssuerTests(TestCase):
    def test_numbers_differ_across_calls_and_incarnations(self):
        issuer = make_issuer()
        first = issuer.issue(now=0.0, count=3)
        issuer.raise_incarnation(8)
        second = issuer.issue(now=0.0, count=3)
        self.assertEqual([t.number for t in first + second], list(range(6)))
        self.assertEqual({t.incarnation for t in second}, {8})

    def test_outstanding_tickets_are_bounded_until_they_expire(self):
        issuer = make_issuer()
        issuer.issue(now=0.0, count=100)
        with self.assertRaises(RequestRefused) as caught:
            issuer.issue(now=14.9)
        self.assertEqual(caught.exception.reason, RefusalReason.OVERLOADED)
        delay = caught.exception.retry_after
        self.assertEqual(len(issuer.issue(now=14.9 + delay)), 1)

    def test_a_caller_may_ask_for_a_shorter_lifetime_only(self):
        for requested, expires_at in [(None, 11.0), (3.0, 4.0), (99.0, 11.0)]:
            with self.subTest(requested=requested):
                (ticket,) = make_issuer().issue(now=1.0, lifetime=requested)
                self.assertEqual(ticket.expires_at, expires_at)

    def test_incarnations_rise_and_differ(self):
        random = Random(3)
        incarnations = [
            new_incarnation(wall=1e9 + s, random=random) for s in range(100)
        ]
        self.assertEqual(incarnations, sorted(set(incarnations)))
        simultaneous = {new_incarnation(wall=1e9, random=random) for _ in range(100)}
        self.assertEqual(len(simultaneous), 100)
        self.assertGreater(
            new_incarnation(wall=1.0, random=random, above=incarnations[-1]),
            incarnations[-1],
        )


class RouteTests(TestCase):
    def test_routes(self):
        live = make_peer("entry-1", InstanceState.LIVE)
        leaving = make_peer("entry-1", InstanceState.LEAVING)
        dead = make_peer("entry-1", InstanceState.DEAD)
        table = [
            ("issued here", "baric", "entry-1", [], RunLocally()),
            ("live peer", "baric", "entry-2", [live], Forward(instance=live)),
            ("leaving peer", "baric", "entry-2", [leaving], Forward(instance=leaving)),
            ("dead peer", "baric", "entry-2", [dead], RefusalReason.INSTANCE_GONE),
            ("unknown peer", "baric", "entry-2", [], RefusalReason.INSTANCE_GONE),
            ("other fleet", "rodantes", "entry-1", [], RefusalReason.TICKET_FOREIGN),
        ]
        ticket = make_issuer().issue(now=0.0)[0]
        for name, fleet, instance, peers, expected in table:
            with self.subTest(name):
                route = route_ticket(
                    ticket=ticket, fleet=fleet, instance=instance, peers=Peers(*peers)
                )
                if isinstance(expected, RefusalReason):
                    self.assertEqual(route.reason, expected)
                    self.assertEqual(route.execution, Execution.UNKNOWN)
                else:
                    self.assertEqual(route, expected)
