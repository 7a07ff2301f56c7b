"""Tests that upstream clients report true outcomes under random faults."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from magnoliahold.sidecar.engine_client import (
    EndKind,
    EngineRequest,
    make_engine_client,
)
from magnoliahold.sidecar.service_client import (
    ServiceOutcomeKind,
    ServiceRequest,
    make_service_client,
)
from magnoliahold.standins.chain import find_chain_break
from magnoliahold.standins.engine import EngineSettings, make_engine
from magnoliahold.standins.engine_faults import EngineFault
from magnoliahold.standins.service import ServiceFault, ServiceSettings, make_service
from tests.loopback import LoopbackTestCase, on_loopback

if TYPE_CHECKING:
    from magnoliahold.sidecar.engine_client import EngineStreamEnd
    from magnoliahold.sidecar.service_client import ServiceOutcome

SEEDS = range(4)
STEPS = 120
STEP_S = 0.004
PROMPT = "coats returned after the second act"

ENGINE_FAULTS = (
    EngineFault("die", revive_after_s=0.02),
    EngineFault("reset_streams"),
    EngineFault("silence_streams"),
    EngineFault("freeze", for_s=0.03),
    EngineFault("fail", share=0.3, after_tokens=3),
    EngineFault("clear"),
)
SERVICE_FAULTS = (
    ServiceFault("die", revive_after_s=0.02),
    ServiceFault("silence_calls"),
    ServiceFault("lose_answers", share=0.5),
    ServiceFault("fail", share=0.5),
    ServiceFault("slow", share=0.5, delay_s=0.05),
    ServiceFault("clear"),
)


class ClientFaultTests(LoopbackTestCase):
    @on_loopback
    async def test_streams_end_once_without_missing_tokens(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_streams(Random(seed))

    async def run_streams(self, random: Random) -> None:
        settings = EngineSettings("e", token_interval_s=0.001, max_batch=8)
        engine = make_engine(self.reactor, settings, random)
        client = make_engine_client(self.reactor, self.serve(engine.resource).address)
        tokens: dict[str, list[str]] = {}
        ends: dict[str, list[EngineStreamEnd]] = {}

        def start(name: str) -> None:
            tokens[name], ends[name] = [], []

            def add_tokens(offset: int, new: tuple[str, ...]) -> None:
                assert not ends[name], "tokens after the end"
                assert offset == len(tokens[name]), "a token is missing or repeated"
                tokens[name].extend(new)

            length = random.randint(1, 60)
            request = EngineRequest(PROMPT, (), length, 0, "v1", "w")
            client.start_stream(name, request, add_tokens, ends[name].append)

        for step in range(STEPS):
            start(f"s{step}")
            chosen = f"s{random.randrange(step + 1)}"
            action = random.choice(
                (client.pause_stream, client.resume_stream, client.cancel_stream)
            )
            action(chosen)
            if random.random() < 0.1:
                engine.inject(random.choice(ENGINE_FAULTS))
            await self.sleep(STEP_S)
        engine.resume()
        await self.sleep(0.05)
        for name in tokens:
            client.cancel_stream(name)
        for name, output in tokens.items():
            self.assertEqual(len(ends[name]), 1)
            self.assertIsNone(find_chain_break(PROMPT, output))
        finished = [e for e in ends.values() if e[0].kind is EndKind.FINISHED]
        self.assertGreater(len(finished), 0)
        await self.wait_until(lambda: engine.batch.running == 0)

    @on_loopback
    async def test_calls_run_at_most_once_and_never_after_not_sent(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_calls(Random(seed))

    async def run_calls(self, random: Random) -> None:
        service = make_service(self.reactor, random, ServiceSettings(work_s=0.003))
        client = make_service_client(self.reactor, self.serve(service.resource).address)
        outcomes: dict[str, list[ServiceOutcome]] = {}
        for step in range(STEPS):
            nonce = f"n{step}"
            outcomes[nonce] = []
            request = ServiceRequest("POST", f"/{nonce}", (), nonce.encode("ascii"))
            client.start_call(nonce, request, outcomes[nonce].append)
            if random.random() < 0.2:
                client.cancel_call(f"n{random.randrange(step + 1)}")
            if random.random() < 0.15:
                service.inject(random.choice(SERVICE_FAULTS))
            await self.sleep(STEP_S)
        await self.sleep(0.1)
        for nonce in outcomes:
            client.cancel_call(nonce)
        kinds = {self.check_call(n, o, service) for n, o in outcomes.items()}
        self.assertEqual(kinds, set(ServiceOutcomeKind))

    def check_call(
        self, nonce: str, outcomes: list[ServiceOutcome], service: Any
    ) -> ServiceOutcomeKind:
        self.assertEqual(len(outcomes), 1)
        outcome = outcomes[0]
        runs = service.ledger[nonce]
        self.assertLessEqual(runs, 1)
        if outcome.kind is ServiceOutcomeKind.NOT_SENT:
            self.assertEqual(runs, 0)
        if outcome.kind is ServiceOutcomeKind.ANSWERED:
            self.assertEqual(runs, 1 if outcome.status == 200 else 0)
            if outcome.status == 200:
                self.assertIn(f'"body":"{nonce}"'.encode("ascii"), outcome.body)
        return outcome.kind
