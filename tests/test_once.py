"""At-most-once requests run once, even if messages are lost or resent."""

import asyncio
import time

import harness
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from pollenseam import claims
from pollenseam import commands
from pollenseam import errors
from pollenseam import journal

HEADERS = {"Idempotency-Key": "k1"}


@pytest.fixture
async def bench(tmp_path):
    async with harness.running(tmp_path) as found:
        yield found


async def test_a_request_without_a_required_key_is_refused(bench):
    stand_in = await bench.add_upstream()
    async with bench.request("POST", "/once/1") as response:
        assert response.status == 400
    assert stand_in.total == 0


async def test_resends_get_the_first_answer_and_run_nothing(bench):
    stand_in = await bench.add_upstream()
    bodies = []
    for _ in range(3):
        async with bench.request("POST", "/once/1", headers=HEADERS) as r:
            assert r.status == 200
            bodies.append(await r.read())
        await bench.until(lambda: not bench.daemon.idempotency_handler.running)
    assert stand_in.runs["k1"] == 1
    assert len(set(bodies)) == 1


async def test_simultaneous_sends_run_once(bench):
    stand_in = await bench.add_upstream()
    headers = {**HEADERS, "X-Work-Ms": "100"}
    answers = await asyncio.gather(
        *[bench.request("POST", "/once/1", headers=headers) for _ in range(8)]
    )
    statuses = sorted(a.status for a in answers)
    assert statuses == [200] + [409] * 7
    assert stand_in.runs["k1"] == 1


async def test_the_same_key_with_another_body_is_refused(bench):
    stand_in = await bench.add_upstream()
    for body, status in [(b"one", 200), (b"two", 409)]:
        async with bench.request(
            "POST", "/once/1", headers=HEADERS, data=body
        ) as response:
            assert response.status == status
    assert stand_in.runs["k1"] == 1


async def test_a_request_that_did_not_run_may_be_sent_again(bench):
    async with bench.request("POST", "/once/1", headers=HEADERS) as response:
        assert (await response.json())["executed"] == "no"
    stand_in = await bench.add_upstream()
    await bench.until(lambda: not bench.daemon.idempotency_handler.running)
    async with bench.request("POST", "/once/1", headers=HEADERS) as response:
        assert response.status == 200
    assert stand_in.runs["k1"] == 1


async def test_a_lost_answer_is_unknown_and_never_run_again(bench):
    stand_in = await bench.add_upstream()
    headers = {**HEADERS, "Request-Timeout-Ms": "3000"}
    timeout_at = time.monotonic() + 3.0
    async with bench.request("PUT", "/once/reset", headers=headers) as r:
        assert r.status == 502
        assert (await r.json())["executed"] == "unknown"
    # The last resends come after the first request's time limit.
    while time.monotonic() < timeout_at + 0.3:
        await asyncio.sleep(0.15)
        async with bench.request("PUT", "/once/reset", headers=headers) as r:
            assert r.status == 409
            assert (await r.json())["executed"] == "unknown"
    assert stand_in.runs["k1"] == 1


async def test_a_claim_that_is_recorded_too_late_runs_nothing(
    bench, monkeypatch
):
    """Guards against a request that runs after it was refused as not run.

    The disk of the control VM took longer than the request's time limit.
    """
    stand_in = await bench.add_upstream()
    append = journal.Journal.append

    def append_slowly(self, *arguments):
        time.sleep(0.4)
        append(self, *arguments)

    monkeypatch.setattr(journal.Journal, "append", append_slowly)
    headers = {**HEADERS, "Request-Timeout-Ms": "300"}
    async with bench.request("PUT", "/once/1", headers=headers) as r:
        assert r.status == 503
        assert (await r.json())["executed"] == "no"
    monkeypatch.setattr(journal.Journal, "append", append)
    await bench.until(lambda: not bench.daemon.idempotency_handler.running)
    assert stand_in.total == 0


async def test_a_request_goes_on_after_its_caller_disconnects(bench):
    stand_in = await bench.add_upstream()
    headers = {**HEADERS, "X-Work-Ms": "200"}
    task = asyncio.ensure_future(
        bench.request("POST", "/once/1", headers=headers).__aenter__()
    )
    await bench.until(lambda: stand_in.running == 1)
    task.cancel()
    await bench.until(lambda: stand_in.running == 0)
    await bench.until(lambda: not bench.daemon.idempotency_handler.running)
    async with bench.request("POST", "/once/1", headers=headers) as response:
        assert response.status == 200
    assert (stand_in.runs["k1"], stand_in.cut_off) == (1, 0)


async def test_a_request_without_a_quorum_is_refused_as_not_run(bench):
    stand_in = await bench.add_upstream()
    bench.daemon.vm.replica_runner.failure_reason = "as after a disk error"
    bench.daemon.vm.freshness.record_age(bench.daemon.vm.now() + 60, 0)
    headers = {**HEADERS, "Request-Timeout-Ms": "300"}
    async with bench.request("POST", "/once/1", headers=headers) as response:
        assert response.status == 503
        body = await response.json()
    assert (body["kind"], body["executed"]) == ("no-quorum", "no")
    assert stand_in.total == 0
    bench.daemon.vm.replica_runner.failure_reason = ""


async def test_a_request_without_an_optional_key_is_sent_once(bench):
    stand_in = await bench.add_upstream()
    async with bench.request("GET", "/maybe/reset") as response:
        assert response.status == 502
    assert stand_in.total == 1


class Ledger(stateful.RuleBasedStateMachine):
    """Attempts race for few keys; each key may run at most once."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = claims.Ledger()
        self.clock = 0
        self.attempts = 0
        self.granted: dict[str, str] = {}
        self.answers: dict[str, bytes] = {}

    def open(self, key, attempt):
        command = commands.OpenClaim("w", key, "digest", attempt, 1000)
        return self.ledger.open(command, self.clock, 60_000)

    @stateful.rule(key=st.sampled_from("ab"))
    def send(self, key):
        self.attempts += 1
        attempt = str(self.attempts)
        outcome = self.open(key, attempt)
        if outcome.granted:
            assert key not in self.granted, "key granted twice"
            self.granted[key] = attempt
        elif outcome.answer is not None:
            assert outcome.answer.body == self.answers[key]
        else:
            assert outcome.kind in (
                errors.Kind.IN_PROGRESS,
                errors.Kind.OUTCOME_UNKNOWN,
            )

    @stateful.rule(key=st.sampled_from("ab"))
    def ask_again_after_a_lost_answer(self, key):
        if key in self.granted and key not in self.answers:
            assert self.open(key, self.granted[key]).granted

    @stateful.rule(key=st.sampled_from("ab"))
    def store(self, key):
        if key in self.granted:
            body = self.answers.setdefault(key, self.granted[key].encode())
            answer = commands.StoredAnswer(200, [], body)
            self.ledger.close(
                commands.CloseClaim("w", key, self.granted[key], answer)
            )

    @stateful.rule(key=st.sampled_from("ab"), attempt=st.integers(1, 9))
    def release(self, key, attempt):
        is_granted = self.granted.get(key) == str(attempt)
        outcome = self.ledger.release(
            commands.ReleaseClaim("w", key, str(attempt))
        )
        if is_granted and key not in self.answers:
            assert outcome.kind == ""
            del self.granted[key]
        else:
            assert outcome.kind == errors.Kind.CONFLICT

    @stateful.rule(milliseconds=st.integers(0, 5000))
    def pass_time(self, milliseconds):
        # Stays within the retention; expiry has its own test below.
        self.clock = min(self.clock + milliseconds, 59_000)


TestLedger = Ledger.TestCase


def test_a_claim_is_kept_for_its_retention_and_then_forgotten():
    ledger = claims.Ledger()
    command = commands.OpenClaim("w", "k", "digest", "1", 1000)
    assert ledger.open(command, 0, 60_000).granted
    ledger.expire(59_999)
    assert ledger.claims
    ledger.expire(60_000)
    assert not ledger.claims
    assert ledger.counts["w"] == 0


def test_claims_spread_over_quorum_groups():
    groups = [claims.quorum_group("w", str(n), 4) for n in range(400)]
    counts = [groups.count(group) for group in range(4)]
    assert min(counts) > 60
    assert claims.quorum_group("w", "7", 4) == groups[7]
