from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from magnoliahold.httpclient import HttpClient
from magnoliahold.sidecar.engine_client import (
    EndKind,
    EngineOrder,
    EngineRequest,
    EngineUnavailable,
    OrderOutcome,
    make_engine_client,
)
from magnoliahold.standins.chain import find_chain_break
from magnoliahold.standins.engine import EngineSettings, make_engine
from magnoliahold.standins.engine_faults import EngineFault
from magnoliahold.standins.platform import make_platform
from tests.loopback import LoopbackTestCase, on_loopback

if TYPE_CHECKING:
    from magnoliahold.sidecar.engine_client import EngineClient, EngineStreamEnd

PROMPT = "summarise the lost property of the night"
INTERVAL_S = 0.002
STATE = (
    b'{"incarnation":"i","versions":[],"adapters":[],"role":"draft","running":0,'
    b'"waiting":0,"fencing":0,"capacity":1}'
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"


class Reader:
    """Starts a stream and collects its tokens and its end."""

    def __init__(self, client: EngineClient, name: str, **fields: Any) -> None:
        self.tokens: list[str] = list(fields.get("prefix", ()))
        self.end: Deferred[EngineStreamEnd] = Deferred()
        values = {
            "prompt": PROMPT,
            "prefix": (),
            "max_tokens": 20,
            "priority": 0,
            "version": "v1",
            "workspace": "w",
            **fields,
        }
        request = EngineRequest(**values)
        client.start_stream(name, request, self._add_tokens, self.end.callback)

    def _add_tokens(self, offset: int, tokens: tuple[str, ...]) -> None:
        assert offset == len(self.tokens), "a token is missing or repeated"
        self.tokens.extend(tokens)


class EngineClientTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = self.make_engine()
        self.listener = self.serve(self.engine.resource)
        self.client = make_engine_client(self.reactor, self.listener.address)

    def make_engine(self, **fields: Any) -> Any:
        values = {
            "name": "e",
            "token_interval_s": INTERVAL_S,
            "load_version_s": 0.05,
            **fields,
        }
        return make_engine(self.reactor, EngineSettings(**values), self.random)

    @on_loopback
    async def test_stream_is_complete_and_can_be_resumed(self) -> None:
        whole = Reader(self.client, "a")
        end = await whole.end
        self.assertEqual((end.kind, end.reason), (EndKind.FINISHED, "length"))
        self.assertEqual(len(whole.tokens), 20)
        self.assertIsNone(find_chain_break(PROMPT, whole.tokens))
        rest = Reader(self.client, "b", prefix=tuple(whole.tokens[:7]))
        await rest.end
        self.assertEqual(rest.tokens, whole.tokens)

    @on_loopback
    async def test_lost_connection_is_reported_at_once(self) -> None:
        table = (
            ("die", EngineFault("die", revive_after_s=0.01)),
            ("reset", EngineFault("reset_streams")),
        )
        for name, fault in table:
            with self.subTest(name):
                reader = Reader(self.client, name, max_tokens=10_000)
                await self.wait_until(lambda reader=reader: len(reader.tokens) > 3)
                before = self.reactor.seconds()
                self.engine.inject(fault)
                end = await reader.end
                self.assertEqual(end.kind, EndKind.CONNECTION_LOST)
                self.assertLess(self.reactor.seconds() - before, 0.2)
                self.assertIsNone(find_chain_break(PROMPT, reader.tokens))
                await self.sleep(0.03)

    @on_loopback
    async def test_restarted_engine_has_a_new_incarnation_and_the_given_version(
        self,
    ) -> None:
        order = EngineOrder(5, "load_version", "v2")
        self.assertEqual(await self.client.send_order(order), OrderOutcome.ACCEPTED)
        before = await self.client.probe(1.0)
        self.engine.crash()
        with self.assertRaises(EngineUnavailable):
            await self.client.probe(1.0)
        refused = await Reader(self.client, "r").end
        self.assertEqual(refused.kind, EndKind.CONNECTION_LOST)
        self.engine.restart("v0")
        await self.sleep(0.1)
        after = await self.client.probe(1.0)
        self.assertNotEqual(before.incarnation, after.incarnation)
        self.assertEqual((after.versions, after.fencing), (("v0",), 0))

    @on_loopback
    async def test_kinds_of_stream_end_are_distinguished(self) -> None:
        self.engine = self.make_engine(max_batch=1, max_waiting=1)
        client = make_engine_client(
            self.reactor, self.serve(self.engine.resource).address
        )
        missing = await Reader(client, "missing", version="v9").end
        self.assertEqual(missing.kind, EndKind.VERSION_MISSING)
        held = [Reader(client, f"h{number}", max_tokens=10_000) for number in (1, 2)]
        await self.wait_until(lambda: self.engine.batch.waiting == 1)
        refused = await Reader(client, "over").end
        self.assertEqual(refused.kind, EndKind.REFUSED)
        client.cancel_stream("h1")
        client.cancel_stream("h1")
        self.assertEqual((await held[0].end).kind, EndKind.CANCELLED)
        await self.wait_until(lambda: len(held[1].tokens) > 0)
        self.engine.inject(EngineFault("fail", after_tokens=1))
        client.cancel_stream("h2")
        broken = Reader(client, "broken")
        self.assertEqual((await broken.end).kind, EndKind.BROKEN)
        self.assertEqual(len(broken.tokens), 1)

    @on_loopback
    async def test_cancel_stops_the_generation_at_the_engine(self) -> None:
        reader = Reader(self.client, "a", max_tokens=10_000)
        await self.wait_until(lambda: bool(reader.tokens))
        self.client.cancel_stream("a")
        await self.wait_until(lambda: self.engine.batch.running == 0)

    @on_loopback
    async def test_ended_streams_leave_no_connection(self) -> None:
        endless = HEAD.replace(b"400", b"900000")
        for name, answer in (("silent", b""), ("broken", b"{nonsense\n")):
            with self.subTest(name):
                url = self.serve_bytes(endless + answer, closes=False)
                client = make_engine_client(self.reactor, url)
                reader = Reader(client, "a")
                await self.sleep(0.05)
                client.cancel_stream("a")
                await reader.end
                await self.wait_until(lambda: self.raw_connections == 0)

    @on_loopback
    async def test_lines_may_be_split_anywhere(self) -> None:
        lines = (
            b'{"offset":0,"tokens":["a"]}\n{"offset":1,"tokens":["b","c"]}\n'
            b'{"finished":"stop"}\n'
        )
        for size in (1, 7, 30):
            with self.subTest(size=size):
                url = self.serve_bytes(HEAD + lines, closes=False, piece=size)
                reader = Reader(make_engine_client(self.reactor, url), "a")
                self.assertEqual((await reader.end).kind, EndKind.FINISHED)
                self.assertEqual(reader.tokens, ["a", "b", "c"])

    @on_loopback
    async def test_cancel_reaches_the_engine_despite_a_silent_connection(self) -> None:
        reader = Reader(self.client, "a", max_tokens=10_000)
        await self.wait_until(lambda: bool(reader.tokens))
        self.engine.silence_connections()
        await self.sleep(0.05)
        count = len(reader.tokens)
        await self.sleep(0.05)
        self.assertEqual(len(reader.tokens), count)
        self.assertEqual((await self.client.probe(1.0)).role, "draft")
        self.client.cancel_stream("a")
        await self.wait_until(lambda: self.engine.batch.running == 0)

    @on_loopback
    async def test_paused_stream_resumes_without_missing_tokens(self) -> None:
        reader = Reader(self.client, "a", max_tokens=400)
        await self.wait_until(lambda: len(reader.tokens) > 5)
        self.client.pause_stream("a")
        await self.sleep(0.05)
        count = len(reader.tokens)
        await self.sleep(0.1)
        self.assertEqual(len(reader.tokens), count)
        self.client.resume_stream("a")
        self.assertEqual((await reader.end).kind, EndKind.FINISHED)
        self.assertEqual(len(reader.tokens), 400)
        self.assertIsNone(find_chain_break(PROMPT, reader.tokens))

    @on_loopback
    async def test_frozen_engine_is_silent_until_it_resumes(self) -> None:
        reader = Reader(self.client, "a", max_tokens=50)
        await self.wait_until(lambda: len(reader.tokens) > 5)
        self.engine.freeze()
        with self.assertRaises(EngineUnavailable):
            await self.client.probe(0.1)
        self.assertLess(len(reader.tokens), 50)
        self.engine.resume()
        self.assertEqual((await reader.end).kind, EndKind.FINISHED)

    @on_loopback
    async def test_poison_request_kills_the_engine_and_its_streams(self) -> None:
        self.engine.inject(EngineFault("poison", text="cursed", revive_after_s=0.05))
        innocent = Reader(self.client, "a", max_tokens=10_000)
        await self.wait_until(lambda: bool(innocent.tokens))
        poison = Reader(self.client, "b", prompt="a cursed prompt")
        for reader in (innocent, poison):
            self.assertEqual((await reader.end).kind, EndKind.CONNECTION_LOST)
        await self.wait_until(lambda: self.engine.live)
        self.assertEqual((await Reader(self.client, "c").end).kind, EndKind.FINISHED)

    @on_loopback
    async def test_fencing_is_obeyed_or_ignored(self) -> None:
        for obeys in (True, False):
            engine = self.make_engine(obeys_fencing=obeys)
            client = make_engine_client(
                self.reactor, self.serve(engine.resource).address
            )
            with self.subTest(obeys=obeys):
                new = await client.send_order(EngineOrder(7, "set_role", "order"))
                old = await client.send_order(EngineOrder(6, "set_role", "draft"))
                state = await client.probe(1.0)
                stale = OrderOutcome.STALE if obeys else OrderOutcome.ACCEPTED
                self.assertEqual((new, old), (OrderOutcome.ACCEPTED, stale))
                role = "order" if obeys else "draft"
                self.assertEqual((state.role, state.fencing), (role, 7 * obeys))
                unknown = await client.send_order(EngineOrder(8, "dance", ""))
                self.assertEqual(unknown, OrderOutcome.REJECTED)

    @on_loopback
    async def test_versions_load_within_the_limit_of_the_weight_store(self) -> None:
        platform = make_platform(self.reactor, self.random)
        platform.weights.limit = 1
        url = self.serve(platform.resource).address
        fields = {"load_version_s": 0.1, "weights_url": url}
        engines = [self.make_engine(name=name, **fields) for name in "ab"]
        for engine in engines:
            client = make_engine_client(
                self.reactor, self.serve(engine.resource).address
            )
            await client.send_order(EngineOrder(1, "load_version", "v2"))
        await self.sleep(0.2)
        self.assertEqual(sum("v2" in e.serving_state.versions for e in engines), 1)
        await self.wait_until(
            lambda: all("v2" in e.serving_state.versions for e in engines)
        )

    @on_loopback
    async def test_faults_can_be_injected_over_http(self) -> None:
        http = HttpClient(self.reactor, self.listener.address)
        table = (
            ({"kind": "dance"}, 400, True),
            ({"kind": "slow", "factor": "a"}, 400, True),
            ({"kind": "fail", "version": "v2"}, 200, True),
            ({"kind": "reset_streams"}, 200, True),
            ({"kind": "freeze", "for_s": 0.3}, 200, False),
            ({"kind": "resume"}, 200, True),
            ({"kind": "die", "revive_after_s": 0.2}, 200, False),
        )
        for fault, status, answers in table:
            with self.subTest(fault=fault):
                body = json.dumps(fault).encode("ascii")
                answer = await http.send("POST", "/faults", body)
                self.assertEqual(answer.status, status)
                await self.sleep(0.03)
                self.assertEqual(await self.is_live(0.1), answers)
        await self.sleep(0.2)
        self.assertTrue(await self.is_live(0.1))

    async def is_live(self, timeout_s: float) -> bool:
        try:
            await self.client.probe(timeout_s)
        except EngineUnavailable:
            return False
        return True

    @on_loopback
    async def test_each_cache_event_is_read_once(self) -> None:
        engine = self.make_engine(cache_event_lag_s=0.0, cache_event_loss=0.0)
        client = make_engine_client(self.reactor, self.serve(engine.resource).address)
        await Reader(client, "a").end
        page = await client.read_cache_events(0)
        self.assertEqual([event.sequence for event in page.events], [1])
        self.assertEqual((await client.read_cache_events(page.next)).events, ())

    @on_loopback
    async def test_malformed_answers_break_only_their_stream(self) -> None:
        line = b'{"offset":0,"tokens":["aa"]}\n'
        table = (
            ("no json", HEAD + b"{nonsense\n", EndKind.BROKEN),
            ("no offset", HEAD + b'{"tokens":["a"]}\n', EndKind.BROKEN),
            ("wrong type", HEAD + b'{"offset":"0","tokens":[]}\n', EndKind.BROKEN),
            ("not http", b"hello\r\n\r\n", EndKind.CONNECTION_LOST),
            ("cut line", HEAD + line + line[:9], EndKind.CONNECTION_LOST),
            ("500", HEAD.replace(b"200", b"500"), EndKind.BROKEN),
        )
        for name, answer, kind in table:
            with self.subTest(name):
                client = make_engine_client(self.reactor, self.serve_bytes(answer))
                reader = Reader(client, "a")
                self.assertEqual((await reader.end).kind, kind)
                self.assertEqual(reader.tokens, ["aa"] * (name == "cut line"))

    @on_loopback
    async def test_control_answers_are_bounded_and_checked(self) -> None:
        huge = b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 9_000_000
        table = (
            ("huge", huge, False),
            ("no length", b"HTTP/1.1 200 OK\r\n\r\n" + STATE, True),
            ("malformed", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", False),
            ("error", b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", False),
            ("cut", HEAD + STATE, True),
            ("silent", b"", False),
        )
        for name, answer, closes in table:
            with self.subTest(name):
                address = self.serve_bytes(answer, closes)
                client = make_engine_client(self.reactor, address)
                with self.assertRaises(EngineUnavailable):
                    await client.probe(0.3)

    def serve_bytes(
        self, answer: bytes, closes: bool = True, piece: int = 1 << 30
    ) -> str:
        """Serves raw bytes, in pieces, on each connection; returns the base URL."""
        self.raw_connections = 0
        case = self

        class Answerer(Protocol):
            def connectionMade(self) -> None:  # noqa: N802
                case.raw_connections += 1
                self.transport.setTcpNoDelay(True)

            def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
                case.raw_connections -= 1

            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                self.write_rest(answer)

            def write_rest(self, rest: bytes) -> None:
                self.transport.write(rest[:piece])
                if len(rest) > piece:
                    case.reactor.callLater(0, self.write_rest, rest[piece:])
                elif closes:
                    self.transport.loseConnection()

        factory = Factory.forProtocol(Answerer)
        factory.noisy = False
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        return f"http://127.0.0.1:{port.getHost().port}"
