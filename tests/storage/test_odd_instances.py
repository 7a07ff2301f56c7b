"""Tests that an odd entry of the platform's list hides no other instance."""

from __future__ import annotations

from typing import Any

from twisted.web.resource import Resource

from magnoliahold.storage.instances import make_instance_client
from magnoliahold.storage.interfaces import Instance, PlatformUnavailable
from tests.loopback import LoopbackTestCase, on_loopback

LEVELS = 100_000
GOOD = Instance("sidecar-1", "sidecar", "10.0.0.9:7000", "dc-1")
GOOD_JSON = (
    b'{"name":"sidecar-1","role":"sidecar","address":"10.0.0.9:7000",'
    b'"data_centre":"dc-1"}'
)
ODD = (
    b"null",
    b"1",
    b"{}",
    b'{"name":7,"role":"sidecar","address":"a:1","data_centre":"d"}',
    b'{"name":"odd","role":"sidecar","address":7,"data_centre":"d"}',
    b'{"name":"odd","role":"sidecar","address":null,"data_centre":"d"}',
    b'{"name":"odd","role":"sidecar","data_centre":"d"}',
    GOOD_JSON.replace(b"sidecar-1", b"odd")[:-1] + b',"leaving":1e999}',
)
UNREADABLE = (
    b"",
    b"[]",
    b'{"instances":7}',
    b'{"instances":' + b"[" * LEVELS,
    b'{"instances":[{"labels":' + b"[" * LEVELS + b"]" * LEVELS + b"}]}",
)


class InstancePage(Resource):
    """Answers with one body."""

    isLeaf = True  # noqa: N815

    def __init__(self, body: bytes) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.body = body

    def render(self, request: Any) -> bytes:
        return self.body


class OddInstanceTests(LoopbackTestCase):
    def serve_list(self, body: bytes) -> Any:
        """Serves a list of instances; returns a client of it."""
        return make_instance_client(
            self.reactor, self.serve(InstancePage(body)).address
        )

    @on_loopback
    async def test_instance_that_can_not_be_read_is_left_out(self) -> None:
        for odd in ODD:
            with self.subTest(odd[:60]):
                body = b'{"instances":[%s,%s]}' % (odd, GOOD_JSON)
                with self.assertLogs("magnoliahold", "WARNING") as logs:
                    listed = await self.serve_list(body).list_instances()
                self.assertEqual(listed.instances, (GOOD,))
                self.assertEqual(len(logs.records), 1)

    @on_loopback
    async def test_answer_that_is_no_list_is_unavailable(self) -> None:
        for body in UNREADABLE:
            with self.subTest(body[:30]), self.assertRaises(PlatformUnavailable):
                await self.serve_list(body).list_instances()
