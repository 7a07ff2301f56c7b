"""Identities of processes and of the senders of messages."""

from __future__ import annotations

from attrs import frozen


@frozen
class Identity:
    """A process: its name is stable, its incarnation is new at each start."""

    name: str
    incarnation: str
    role: str
    data_centre: str


@frozen
class Sender:
    """The process that sent a message."""

    name: str
    incarnation: str
