"""Checks answers, and the requests that ran, against documented guarantees."""

from collections import Counter
from dataclasses import dataclass, field

import h11

from bench.soak.environment import (
    RECORD_BYTES,
    SHARDS,
    TOP_RECORDS,
    SoakEnvironment,
)

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(kw_only=True, frozen=True)
class ObservedAnswer:
    """Answer as a caller received it; status 0 means that none arrived."""

    id: str
    kind: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(kw_only=True)
class InvariantChecker:
    """Checks answers and requests that ran; collects the violations."""

    answers: list[ObservedAnswer] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def record(
        self, environment: SoakEnvironment, answer: ObservedAnswer
    ) -> None:
        """Record an answer and check it on its own."""
        self.answers.append(answer)
        if answer.status != 200:
            return
        if answer.headers.get('x-request-id') not in {None, answer.id}:
            self.violations.append(
                f'{answer.id}: answer belongs to another request'
            )
        if answer.kind == 'all':
            self._check_merged(environment, answer)
        else:
            self._check_single(environment, answer)

    def _check_single(
        self, environment: SoakEnvironment, answer: ObservedAnswer
    ) -> None:
        """Check an answer that comes from a single target."""
        target_id, request = _parse_stamp(
            answer.headers.get('x-server-stamp', '')
        )
        if request != answer.id:
            self.violations.append(
                f'{answer.id}: stamp belongs to request {request!r}'
            )
        elif environment.bodies.get(target_id) != answer.body:
            self.violations.append(
                f'{answer.id}: body differs from that of {target_id}'
            )

    def _check_merged(
        self, environment: SoakEnvironment, answer: ObservedAnswer
    ) -> None:
        """Check an answer that is merged from several shards."""
        stamps = [
            _parse_stamp(stamp.strip())
            for stamp in answer.headers.get('x-part-stamps', '').split(',')
        ]
        services = {
            target.standin.id: target.service for target in environment.targets
        }
        parts = [services.get(target_id, '') for target_id, _ in stamps]
        missing = int(answer.headers.get('x-missing-parts', '0'))
        if any(request != answer.id for _, request in stamps):
            self.violations.append(
                f'{answer.id}: a part belongs to another request'
            )
        if len(set(parts)) != len(parts) or '' in parts:
            self.violations.append(
                f'{answer.id}: unknown or repeated parts {sorted(parts)}'
            )
        if len(parts) + missing != SHARDS or len(parts) * 2 < SHARDS:
            self.violations.append(
                f'{answer.id}: {len(parts)} parts, {missing} missing'
            )
        records = sorted(
            (
                body[start : start + RECORD_BYTES]
                for target_id, _ in stamps
                for body in (environment.bodies.get(target_id, b''),)
                for start in range(
                    0, len(body) - RECORD_BYTES + 1, RECORD_BYTES
                )
            ),
            reverse=True,
        )
        if b''.join(records[:TOP_RECORDS]) != answer.body:
            self.violations.append(
                f'{answer.id}: records differ from the highest ones'
            )

    def check_runs(self, environment: SoakEnvironment) -> None:
        """Check the requests that targets ran; call when none is in flight."""
        runs = Counter(
            run
            for target in environment.targets
            for run in target.standin.run_request_ids
        )
        request_ids = {answer.id for answer in self.answers}
        for answer in self.answers:
            if answer.kind != 'once':
                continue
            if runs[answer.id] > 1:
                self.violations.append(
                    f'{answer.id}: ran {runs[answer.id]} times instead of once'
                )
            if runs[answer.id] and answer.status in NOT_RUN_STATUSES:
                self.violations.append(
                    f'{answer.id}: status {answer.status}, but the request ran'
                )
        for request in runs:
            if request not in request_ids:
                self.violations.append(
                    f"{request}: run without a caller's request"
                )


def read_headers(response: h11.Response) -> dict[str, str]:
    """Return the headers of a response."""
    return {
        name.decode(): content.decode() for name, content in response.headers
    }


def _parse_stamp(stamp: str) -> tuple[str, str]:
    """Return target and request id from the stamp of a target stand-in."""
    target_id, _, rest = stamp.partition('.')
    return target_id, rest.partition('.')[0]
