"""The tables of one process and the effects of its current tick."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.admission import AdmissionTable
from magnoliahold.core.calls import CallTable
from magnoliahold.core.claims import ClaimTable
from magnoliahold.core.configuration import ConfigurationTable
from magnoliahold.core.effects import LogDecision
from magnoliahold.core.events import Inbox
from magnoliahold.core.evidence import EvidenceTable
from magnoliahold.core.generations import GenerationTable
from magnoliahold.core.moves import MoveTable
from magnoliahold.core.peers import PeerTable
from magnoliahold.core.placement import OrderTable, PlacementTable
from magnoliahold.core.policy import Policy
from magnoliahold.core.quarantine import SuspicionTable
from magnoliahold.core.runs import RunTable
from magnoliahold.core.streams import OwnerTable, StreamTable
from magnoliahold.core.workspaces import WorkspaceTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.core.canary_analysis import CanaryAnalysis
    from magnoliahold.core.effects import FieldValue
    from magnoliahold.core.identity import Identity
    from magnoliahold.core.streams import Upstream


@define
class World:
    """State common to all processes: identity, policy, input and output of a tick.

    `effects` grows during a tick; the node performs and clears it afterwards.
    `reported_violations` describes invariants that a system found broken. `idle_since`
    is set while a leaving process has nothing in flight, and `stopping` once its stop
    was requested. All that arrived before `read_at`, on the process clock, was read
    before the current tick; None if nobody tells. With `checks_all_rows` each tick
    checks all rows, not only those that it touched. With `raises_errors`, as in tests,
    no error of a system is contained.
    """

    identity: Identity
    random: Random
    policy: Policy = field(factory=Policy)
    inbox: Inbox = field(factory=Inbox)
    effects: list[object] = field(factory=list)
    peers: PeerTable = field(factory=PeerTable)
    workspaces: WorkspaceTable = field(factory=WorkspaceTable)
    leaving_since: float | None = None
    idle_since: float | None = None
    stopping: bool = False
    next_serial: int = 0
    read_at: float | None = None
    wall_clock: Callable[[float], float] = float
    reported_violations: list[str] = field(factory=list)
    checks_all_rows: bool = False
    raises_errors: bool = False
    next_full_check_at: float = -math.inf

    def emit(self, effect: object) -> None:
        """Adds an effect to be performed after this tick."""
        self.effects.append(effect)

    def log_decision(self, component: str, message: str, **fields: FieldValue) -> None:
        """Logs one decision with its fields after this tick."""
        self.effects.append(LogDecision(component, message, fields))

    def make_id(self, kind: str) -> str:
        """Creates an id that is unique across processes and their incarnations."""
        self.next_serial += 1
        return f"{kind}-{self.identity.incarnation}-{self.next_serial}"


@define
class EntryWorld(World):
    """Tables of an entry."""

    generations: GenerationTable = field(factory=GenerationTable)
    admission: AdmissionTable = field(factory=AdmissionTable)
    calls: CallTable = field(factory=CallTable)
    claims: ClaimTable = field(factory=ClaimTable)
    suspicions: SuspicionTable = field(factory=SuspicionTable)
    configuration: ConfigurationTable = field(factory=ConfigurationTable)
    moves: MoveTable = field(factory=MoveTable)
    canary_analyses: dict[str, CanaryAnalysis] = field(factory=dict)
    placement: PlacementTable = field(factory=PlacementTable)


@define(kw_only=True)
class SidecarWorld(World):
    """Tables of a sidecar."""

    upstream: Upstream
    evidence: EvidenceTable = field(factory=EvidenceTable)
    orders: OrderTable = field(factory=OrderTable)
    owners: OwnerTable = field(factory=OwnerTable)
    streams: StreamTable = field(factory=StreamTable)
    runs: RunTable = field(factory=RunTable)
