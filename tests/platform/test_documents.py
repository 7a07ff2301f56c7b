"""Tests of the documents in the platform's store."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest.mock import Mock

from magnoliahold.core.serving.configuration import MAX_NUMBER, RouteKind
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.core.serving.upstreams import UpstreamStart
from magnoliahold.platform.documents import (
    DocumentError,
    read_configuration,
    read_peer,
    read_upstream,
    write_peer,
)
from magnoliahold.serving.notices import NoticePort, encode_notice

ROUTE = {
    "name": "r-1",
    "hostname": "Host.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 25000,
    "goal_ms": 4500,
    "gap_goal_ms": 700,
    "service": "s-1",
    "max_attempts": 5,
    "resumable": True,
}
SERVER = {
    "service": "s-1",
    "address": "10.0.0.1:8080",
    "zone": "z-1",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "seq": 4,
    "born": 1700000000000,
}

# Integers that a notice can't list, and one that only just isn't exact as a float.
TOO_LARGE = (2**70, -(2**70), MAX_NUMBER + 1)

# Changes to a valid registration that make it invalid.
INVALID_SERVERS: tuple[tuple[str, Any], ...] = (
    ("service", None),
    ("service", 7),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:x"),
    ("address", "10.0.0.1:65536"),
    ("address", "10.0.0.1:\u0661"),
    ("address", "host.example:80"),
    ("address", "a..b:80"),
    ("address", "10.0.0.256:80"),
    ("address", "fe80::1%eth0:80"),
    ("state", "dancing"),
    ("zone", []),
    ("born", 1.5),
    *(("born", number) for number in TOO_LARGE),
)

# Changes to a valid route that make the whole configuration invalid.
INVALID_ROUTES: tuple[tuple[str, Any], ...] = (
    ("kind", "sometimes"),
    ("service", None),
    ("prefix", 5),
    ("timeout_ms", "soon"),
)


def encode(value: object) -> bytes:
    """Encodes a document as JSON."""
    return json.dumps(value).encode()


class ConfigurationTests(unittest.TestCase):
    def test_route_is_read_and_times_converted_to_seconds(self) -> None:
        configuration = read_configuration(encode({"version": 7, "routes": [ROUTE]}))
        route = configuration.find_route("host.example", "/a/x")
        assert route is not None
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertEqual(
            (route.timeout_s, route.goal_s, route.gap_goal_s), (25, 4.5, 0.7)
        )
        self.assertEqual([item.service for item in route.shares], ["s-1"])

    def test_weights_workspaces_and_limits_are_read(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        document = {
            "version": 1,
            "routes": [{**ROUTE, "traffic_split": split}],
            "services": [
                {
                    "name": "a",
                    "max_conns": 500,
                    "engine": {"slots": 96, "kv_capacity": 88000, "backups": True},
                }
            ],
            "limits": {"max_header_bytes": 100, "header_timeout_ms": 1500},
            "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
            "unknown": {"ignored": True},
        }
        configuration = read_configuration(encode(document))
        shares = configuration.routes[0].shares
        self.assertEqual(
            [(s.service, s.weight) for s in shares], [("a", 90), ("b", 10)]
        )
        self.assertTrue(configuration.services_by_name["a"].keeps_copies)
        self.assertEqual(configuration.workspaces_by_credential["k2"].name, "t")
        self.assertEqual(configuration.limits.header_timeout_s, 1.5)

    # Failure: an empty list of tenants was read like a missing one (review case 7).
    def test_only_a_missing_list_of_tenants_needs_no_credentials(self) -> None:
        for document, workspaces in (
            ({}, None),
            ({"tenants": []}, ()),
            ({"tenants": None}, ()),
        ):
            with self.subTest(document=document):
                configuration = read_configuration(encode({"version": 1, **document}))
                self.assertEqual(configuration.workspaces, workspaces)

    def test_version_that_no_proof_can_name_is_rejected(self) -> None:
        for number in TOO_LARGE:
            for version in (number, str(number)):
                with self.subTest(version=version), self.assertRaises(DocumentError):
                    read_configuration(encode({"version": version}))
        port = NoticePort(lambda _: None, Mock())
        version = read_configuration(encode({"version": MAX_NUMBER})).version
        proof = ConfigurationProof("entry-1", "entry-1.a", 1, version)
        port.send_proofs([(PeerRecord("entry-2", "entry-2.a", "10.0.0.9", 1), proof)])
        port.transport.write.assert_called_once()

    def test_invalid_configurations_are_rejected(self) -> None:
        for name, value in INVALID_ROUTES:
            with self.subTest(name, value=value), self.assertRaises(DocumentError):
                document = {"version": 7, "routes": [{**ROUTE, name: value}]}
                read_configuration(encode(document))
        for document in (b"", b"[]", b"{}", b"\xff", encode({"version": "x"})):
            with self.subTest(document), self.assertRaises(DocumentError):
                read_configuration(document)


class UpstreamTests(unittest.TestCase):
    def test_registration_is_read(self) -> None:
        record = read_upstream("i-1", encode(SERVER))
        self.assertEqual((record.address, record.port), ("10.0.0.1", 8080))
        self.assertEqual((record.data_centre, record.leaving), ("z-1", False))
        self.assertEqual(record.born_ms, 1700000000000)

    def test_draining_upstream_is_leaving(self) -> None:
        self.assertTrue(
            read_upstream("i", encode({**SERVER, "state": "draining"})).leaving
        )

    def test_notices_can_list_the_largest_start_times(self) -> None:
        for born in (MAX_NUMBER, -MAX_NUMBER):
            with self.subTest(born=born):
                record = read_upstream("i-1", encode({**SERVER, "born": born}))
                self.assertEqual(record.born_ms, born)
                start = UpstreamStart(record.id, record.born_ms)
                encode_notice(LoadNotice("entry-1", "entry-1.a", 1, leaving=(start,)))

    def test_invalid_registrations_are_rejected(self) -> None:
        for name, value in INVALID_SERVERS:
            with self.subTest(name, value=value), self.assertRaises(DocumentError):
                read_upstream("i-1", encode({**SERVER, name: value}))
        for missing in ("service", "address", "zone", "state"):
            changed = {key: value for key, value in SERVER.items() if key != missing}
            with self.subTest(missing=missing), self.assertRaises(DocumentError):
                read_upstream("i-1", encode(changed))


class PeerTests(unittest.TestCase):
    def test_entry_registration_is_read_as_it_was_written(self) -> None:
        record = PeerRecord("entry-1", "entry-1.a", "10.0.0.9", 7340)
        self.assertEqual(read_peer(write_peer(record)), record)
        with self.assertRaises(DocumentError):
            read_peer(b"{}")

    def test_entry_that_no_datagram_reaches_is_rejected(self) -> None:
        for address, port in (
            ("", 7340),
            ("localhost", 7340),
            ("10.0.0.256", 7340),
            ("fe80::1%eth0", 7340),
            ("10.0.0.9", 0),
            ("10.0.0.9", 65_536),
            ("10.0.0.9", 2**64),
        ):
            record = {
                "name": "entry-1",
                "incarnation": "entry-1.a",
                "address": address,
                "port": port,
            }
            with (
                self.subTest(address=address, port=port),
                self.assertRaises(DocumentError),
            ):
                read_peer(encode(record))


if __name__ == "__main__":
    unittest.main()
