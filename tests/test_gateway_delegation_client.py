"""Tests of savorypond.gateway.delegation_client."""

from unittest import TestCase

from savorypond.gateway.delegation import ShardGroup
from savorypond.gateway.delegation_client import DelegationClient, group_response
from savorypond.gateway.leaving_servers import LeavingServer
from savorypond.http.messages import Header, HttpResponse
from savorypond.model import Address, Counters, Instance
from savorypond.platform.names import HEADERS

PEER = Instance(
    name="b1",
    data_centre="b",
    peer_address=Address(host="127.0.0.1", port=1),
    incarnation=1,
)
GROUP = ShardGroup(peer=PEER, shards=(0, 1))


class GroupResponseTests(TestCase):
    """A group without an answer may be refused as not run only if that is true."""

    def decode(self, response):
        client = DelegationClient(
            names=HEADERS,
            timing=None,
            policy=None,
            client=None,
            peers=None,
            clock=None,
            counters=Counters(),
        )
        return client._decode(GROUP, 1, response)

    def may_have_run(self, **fields):
        response = group_response(
            HttpResponse(status=200),
            answered=(),
            pending=(),
            shares={},
            rate_limited=True,
            **fields,
        )
        result = self.decode(response)
        self.assertTrue(result.rate_limited)
        return result.may_have_run

    def test_an_instance_says_whether_servers_may_have_run_its_group(self):
        self.assertTrue(self.may_have_run(may_have_run=True))
        self.assertFalse(self.may_have_run(may_have_run=False))

    def test_an_instance_of_an_earlier_version_promises_nothing(self):
        result = self.decode(HttpResponse(status=200))
        self.assertTrue(result.may_have_run)

    def test_an_instance_names_the_leaving_servers_of_its_group(self):
        leaving = (LeavingServer(name="a=,;~", service="s\u00e9", started=2**62),)
        response = group_response(
            HttpResponse(status=200),
            answered=(),
            pending=(),
            shares={},
            rate_limited=False,
            may_have_run=True,
            leaving=leaving,
        )
        self.assertEqual(self.decode(response).leaving, leaving)

    def test_leaving_servers_that_cannot_be_read_fail_the_group(self):
        for value in ("?", "AA", "AAAA", "kQ==", "\xe9"):
            with self.subTest(value=value):
                header = Header(name="peer-leaving", value=value)
                result = self.decode(HttpResponse(status=200, headers=(header,)))
                self.assertTrue(result.problem)
                self.assertEqual(result.leaving, ())
