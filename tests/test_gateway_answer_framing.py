"""Tests of savorypond.gateway.answer_framing."""

from dataclasses import replace
from random import Random
from unittest import TestCase

from savorypond.gateway.answer_framing import MAX_KEPT, AnswerFraming
from savorypond.http.messages import HttpResponse

FRAMED = HttpResponse(status=200, body=b"a")
UNFRAMED = replace(FRAMED, framed=False)
ANSWERS = 400


class AnswerFramingTests(TestCase):
    def setUp(self):
        self.framing = AnswerFraming()

    def is_odd(self, response, *, service="s1", route="r"):
        return self.framing.is_odd(response, service=service, route=route)

    def play(self, share):
        """Return the share of answers without a length that are odd."""
        random = Random(1)
        unframed = odd = 0
        for _ in range(ANSWERS):
            response = UNFRAMED if random.random() < share else FRAMED
            unframed += not response.framed
            odd += self.is_odd(response)
        return odd / unframed

    def test_rare_answers_without_a_length_are_odd(self):
        for share in (0.02, 0.05):
            with self.subTest(share):
                self.setUp()
                self.is_odd(FRAMED)
                self.assertEqual(self.play(share), 1.0)

    def test_servers_that_always_or_often_answer_so_are_believed(self):
        self.assertEqual(self.play(1.0), 0.0)
        self.setUp()
        self.assertLess(self.play(0.5), 0.05)

    def test_routes_and_services_are_told_apart(self):
        self.is_odd(FRAMED)
        self.assertTrue(self.is_odd(UNFRAMED))
        self.assertFalse(self.is_odd(UNFRAMED, route="other"))
        self.assertFalse(self.is_odd(UNFRAMED, service="s2"))

    def test_failures_and_empty_bodies_tell_nothing(self):
        for response in (replace(FRAMED, status=500), replace(FRAMED, body=b"")):
            self.is_odd(response)
        self.assertFalse(self.is_odd(UNFRAMED))
        self.setUp()
        self.is_odd(FRAMED)
        self.assertFalse(self.is_odd(replace(UNFRAMED, status=500)))

    def test_a_bounded_number_of_routes_is_remembered(self):
        for number in range(MAX_KEPT + 10):
            self.is_odd(FRAMED, route=f"r{number}")
        self.assertEqual(self.framing.size, MAX_KEPT)
