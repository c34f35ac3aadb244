"""State machine: instances that observe ends of targets and tell each other."""

import itertools
import os

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.crash_suspects import CrashSuspects
from bitternturn.gateway.decision_log import DecisionLog, LineWriter
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.platform.http_messages import read_request
from bitternturn.policy.crash_evidence import MIN_ENDS, OCCASION_S
from bitternturn.relay.observations import decode_reports, encode_report
from tests.gateway.helpers import FakeTarget, make_entry, make_request

COUNT = 4
SERVICE = ServiceName('s')
NUMBERS = st.integers(0, COUNT - 1)
WRITER = LineWriter(descriptor=os.open(os.devnull, os.O_WRONLY))
CRASHING = read_request(make_request(path='/a/crashing'))
POPULAR = read_request(make_request(path='/a/popular'))


def make_suspects():
    """Return the suspects of an instance."""
    return CrashSuspects(
        decisions=DecisionLog(instance='i', writer=WRITER),
        metrics=GatewayMetrics(),
    )


class ObservationMachine(RuleBasedStateMachine):
    """Messages are lost, late and in any order; instances start again."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.numbers = itertools.count()
        self.instances = [make_suspects() for _ in range(COUNT)]
        # Messages that are under way, each with its time.
        self.messages = []
        # Times of the ends of targets by the crashing request.
        self.crashes = []

    @initialize()
    def start(self):
        self.exchange_all()

    def end_target(self, number, callers):
        """Let a target end with some requests of one instance."""
        entry = make_entry(FakeTarget(next(self.numbers)), SERVICE)
        self.instances[number].record_end(
            entry, callers, ended_at=self.now, now=self.now
        )
        self.send_evidence(number)

    def send_evidence(self, number):
        """Put all evidence of an instance under way."""
        evidence = self.instances[number].evidence
        self.messages.append(
            (
                self.now,
                [
                    encode_report(key, known, self.now)
                    for key, known in evidence.items()
                ],
            )
        )

    def exchange_all(self):
        """Let all instances hear all evidence."""
        for _ in range(2):
            for sender in range(COUNT):
                reports = [
                    encode_report(key, known, self.now)
                    for key, known in self.instances[sender].evidence.items()
                ]
                for receiver in self.instances:
                    receiver.merge(decode_reports(reports, self.now), self.now)

    @rule(number=NUMBERS, beside_popular=st.booleans())
    def crash(self, number, beside_popular):
        """The crashing request comes to an instance."""
        if self.instances[number].refuses(CRASHING, self.now):
            return
        self.crashes.append(self.now)
        callers = [CRASHING, POPULAR] if beside_popular else [CRASHING]
        self.end_target(number, callers)
        if beside_popular:
            self.answer_popular(number)

    @rule(number=NUMBERS)
    def answer_popular(self, number):
        """The popular request is answered; it must not be refused."""
        self.now += 0.01
        suspects = self.instances[number]
        assert not suspects.refuses(POPULAR, self.now)
        suspects.record_answer(POPULAR, SERVICE, self.now)
        self.send_evidence(number)

    @rule(number=NUMBERS, count=st.integers(1, 8))
    def lose_domain(self, number, count):
        """Several targets end at once with the popular request under way."""
        for _ in range(count):
            self.end_target(number, [POPULAR])
        self.answer_popular(number)

    @rule(receiver=NUMBERS, data=st.data())
    def deliver(self, receiver, data):
        """Deliver any message, also again, with the age that it had."""
        if self.messages:
            sent_at, reports = data.draw(st.sampled_from(self.messages))
            self.instances[receiver].merge(
                decode_reports(reports, sent_at), self.now
            )

    @rule(delay_s=st.floats(0.1, 3))
    def wait(self, delay_s):
        self.now += delay_s

    @rule(number=NUMBERS)
    def restart(self, number):
        """An instance starts again and asks another one."""
        self.instances[number] = make_suspects()
        other = self.instances[(number + 1) % COUNT]
        reports = [
            encode_report(key, known, self.now)
            for key, known in other.evidence.items()
        ]
        self.instances[number].merge(
            decode_reports(reports, self.now), self.now
        )

    @rule()
    def agree(self):
        """Instances that have heard all evidence decide alike."""
        self.exchange_all()
        refusing = {
            suspects.refuses(CRASHING, self.now) for suspects in self.instances
        }
        assert len(refusing) == 1
        known = max(
            (len(it.ends) for it in self.instances[0].evidence.values()),
            default=0,
        )
        spread_s = max(self.crashes, default=0) - min(self.crashes, default=0)
        lost = len(self.crashes) - known
        if known >= MIN_ENDS and not lost and spread_s > OCCASION_S:
            assert refusing == {True}

    @invariant()
    def popular_request_is_not_refused(self):
        assert not any(
            suspects.refuses(POPULAR, self.now) for suspects in self.instances
        )


TestObservations = ObservationMachine.TestCase
