"""Tests of the decision log and the metrics."""

import fcntl
import json
import os
import time

from bitternturn.gateway.decision_log import (
    MAX_BURST_LINES,
    MAX_PENDING_BYTES,
    DecisionLog,
    LineWriter,
)
from bitternturn.gateway.metrics import GatewayMetrics


class TestWriting:
    def test_stuck_reader_does_not_block_writer(self):
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        lines = LineWriter(descriptor=writer)
        for _ in range(1000):
            lines.write(b'x' * 1000 + b'\n')
        assert lines.dropped > 0
        assert len(lines.pending) <= MAX_PENDING_BYTES
        while len(lines.pending) > 100:
            os.read(reader, 65536)
            lines.write(b'y')
        os.close(reader)
        lines.write(b'nobody reads')
        os.close(writer)

    def test_rate_is_limited_and_suppressed_lines_are_counted(
        self, monkeypatch
    ):
        monkeypatch.setattr(time, 'monotonic', lambda: 1.0)
        reader, writer = os.pipe()
        decisions = DecisionLog(
            instance='i1', writer=LineWriter(descriptor=writer)
        )
        for number in range(1000):
            decisions.write('request', number=number)
        written = os.read(reader, 1 << 20).decode().splitlines()
        assert len(written) == MAX_BURST_LINES
        assert decisions.counts['request'] == 1000
        decisions.buckets['request'] = (1.0, decisions.buckets['request'][1])
        decisions.write('request', number=1000)
        last = json.loads(os.read(reader, 1 << 20))
        assert last['suppressed'] == 1000 - MAX_BURST_LINES
        os.close(reader)
        os.close(writer)


class TestMetrics:
    def test_counts_latencies_and_gauges_are_rendered(self):
        metrics = GatewayMetrics()
        metrics.register_gauge('in_flight', lambda: 3)
        metrics.increment('refused', reason='busy')
        metrics.increment('refused', reason='busy')
        metrics.record_latency(
            'request_latency', 0.03, route='r', outcome='answer'
        )
        first = metrics.render().decode()
        metrics.record_latency(
            'request_latency', 0.3, route='r', outcome='answer'
        )
        metrics.increment('sends', outcome='lost')
        text = metrics.render().decode()
        assert 'bitternturn_in_flight 3.0' in first
        assert 'bitternturn_refused_total{reason="busy"} 2.0' in first
        assert 'bitternturn_sends_total{outcome="lost"} 1.0' in text
        name = 'bitternturn_request_latency_seconds_bucket'
        assert f'{name}{{le="0.05",outcome="answer",route="r"}} 1.0' in text
        assert f'{name}{{le="+Inf",outcome="answer",route="r"}} 2.0' in text
