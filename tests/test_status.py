from unittest import TestCase

from savorypond.operator_api import PeerStatus, ServerStatus, Status
from savorypond.tools.status import disagreements, status_lines


def make_status(name, *, peers=(), revision=1, owner="one", ready=True):
    return Status(
        name=name,
        fleet="f",
        data_centre="split",
        incarnation=1,
        ready=ready,
        draining=False,
        leaving=(),
        revision=revision,
        peers=tuple(
            PeerStatus(name=peer, data_centre="split", state=state, incarnation=1)
            for peer, state in peers
        ),
        servers=(
            ServerStatus(
                name="s-a",
                service="s",
                owner=owner,
                leaving=False,
                ejected=True,
                in_flight=0,
                waiting=0,
                connections=1,
                expected_wait=0.0,
            ),
        ),
    )


class DisagreementTests(TestCase):
    def test_agreement_reports_nothing(self):
        one = make_status("one", peers=[("two", "live")])
        two = make_status("two", peers=[("one", "live")])
        self.assertEqual(disagreements([one, two]), [])

    def test_each_disagreement_is_reported(self):
        peers_of_one = [("two", "live")]
        peers_of_two = [("one", "live")]
        cases = [
            (
                "revisions differ",
                make_status("two", peers=peers_of_two, revision=2),
            ),
            ("two does not see one", make_status("two", peers=[("one", "dead")])),
            (
                "owners of s differ",
                make_status("two", peers=peers_of_two, owner="two"),
            ),
        ]
        for start, two in cases:
            with self.subTest(start):
                problems = disagreements([make_status("one", peers=peers_of_one), two])
                self.assertEqual(len(problems), 1)
                self.assertTrue(problems[0].startswith(start), problems)


class StatusLinesTests(TestCase):
    def test_reports_what_needs_attention(self):
        text = "\n".join(status_lines(make_status("one", ready=False)))
        self.assertIn("not ready", text)
        self.assertIn("ejected backend servers: s-a", text)
