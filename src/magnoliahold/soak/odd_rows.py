"""Rows that another writer leaves in the store, for the rest of a soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import frozen

from magnoliahold.soak.deployment import ENGINES
from magnoliahold.soak.faults import inject
from magnoliahold.standins.users.operators import (
    CONFIGURATION_ROW,
    REGISTRATIONS,
    make_order,
    make_registration,
)

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.soak.deployment import Deployment

LEVELS = 20_000
NESTED_LISTS = b"[" * LEVELS + b"]" * LEVELS
NESTED_OBJECTS = b'{"a":' * LEVELS + b"1" + b"}" * LEVELS
OWN_TABLES = (
    "magnoliahold-entries",
    "magnoliahold-moves",
    "magnoliahold-quarantine",
)
ORDER_KEY = make_order("odd", "v0", 1.0)[1]
PLACES = (
    *(4 * ((REGISTRATIONS, "odd"),)),
    (CONFIGURATION_ROW[0], ORDER_KEY),
    *((table, "odd") for table in OWN_TABLES),
)
ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:" + "9" * 5000,
    "a..b:80",
    "host.invalid:80",
    "",
)
ODD_DOCUMENTS = (
    b"",
    b"\xff",
    b"null",
    NESTED_LISTS,
    NESTED_OBJECTS,
    b'{"born": 1e400}',
    b'{"born": %s}' % (b"9" * 5000),
    b'{"unknown": %s}' % NESTED_LISTS,
    b'{"unknown": %s}' % NESTED_OBJECTS,
)


@frozen
class LeaveOddRow:
    """Another writer leaves a row that names nothing to use."""

    table: str
    key: str
    content: bytes


def draw_odd_row(random: Random, number: int) -> LeaveOddRow:
    """Draws a row; each has a key of its own."""
    table, key = random.choice(PLACES)
    content = random.choice(ODD_DOCUMENTS)
    if table == REGISTRATIONS and random.random() < 0.6:
        content = _make_odd_registration(random)
    return LeaveOddRow(table, f"{key}-{number}", content)


def _make_odd_registration(random: Random) -> bytes:
    """Makes a registration with an odd address, or that nests in an unknown field."""
    address = random.choice((*ODD_ADDRESSES, "127.0.0.1:1"))
    document = make_registration(ENGINES, address, "data-centre-1", "v1", "ready", 1)
    encoded = msgspec.json.encode(document)
    if address in ODD_ADDRESSES:
        return encoded
    return encoded[:-1] + b', "unknown": %s}' % random.choice(
        (NESTED_LISTS, NESTED_OBJECTS)
    )


def add_odd_rows(random: Random, faults: list[object], count: int) -> None:
    """Adds rows at random places of a list of faults."""
    for number in range(count):
        fault = draw_odd_row(random, number)
        faults.insert(random.randint(0, len(faults)), fault)


@inject.register(LeaveOddRow)
def _leave_odd_row(fault: LeaveOddRow, deployment: Deployment) -> None:
    deployment.store.put(fault.table, fault.key, fault.content)
