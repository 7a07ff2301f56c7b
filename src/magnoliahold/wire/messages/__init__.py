"""Messages between entries and sidecars.

Every message is an immutable attrs class of plain fields, encoded as MessagePack by
`wire.codec`. A lineage is the output of one generation across its attempts; a
generation that abandons its output gets a new lineage. Offsets count the output tokens
of one lineage from 0. Times are in seconds.
"""

from __future__ import annotations

from typing import TypeAlias

from magnoliahold.wire.messages.calls import (
    CallAnswered,
    CallFailed,
    CallVerdict,
    FenceCall,
    StartCall,
)
from magnoliahold.wire.messages.configuration import (
    ApplyNote,
    ConfigurationPull,
    ConfigurationPush,
    MoveRow,
    PlacementPush,
    StatusItem,
    StatusPull,
    StatusReport,
    SuspendVersion,
    WorkspaceRow,
)
from magnoliahold.wire.messages.liveness import (
    EngineDied,
    EvidenceCount,
    Heartbeat,
    Leave,
    SuspicionNotice,
    UpstreamReport,
)
from magnoliahold.wire.messages.streams import (
    AckTokens,
    CancelStream,
    StartStream,
    StreamFailed,
    StreamTaken,
    StreamTokens,
    TakeStream,
    TokenBundle,
)

__all__ = [
    "AckTokens",
    "ApplyNote",
    "CallAnswered",
    "CallFailed",
    "CallVerdict",
    "CancelStream",
    "ConfigurationPull",
    "ConfigurationPush",
    "EngineDied",
    "EvidenceCount",
    "FenceCall",
    "Heartbeat",
    "Leave",
    "Message",
    "MoveRow",
    "PlacementPush",
    "StartCall",
    "StartStream",
    "StatusItem",
    "StatusPull",
    "StatusReport",
    "StreamFailed",
    "StreamTaken",
    "StreamTokens",
    "SuspendVersion",
    "SuspicionNotice",
    "TakeStream",
    "TokenBundle",
    "UpstreamReport",
    "WorkspaceRow",
]

Message: TypeAlias = (
    Heartbeat
    | StartStream
    | StreamTokens
    | TokenBundle
    | StreamFailed
    | AckTokens
    | CancelStream
    | TakeStream
    | StreamTaken
    | StartCall
    | CallAnswered
    | CallFailed
    | FenceCall
    | CallVerdict
    | EngineDied
    | SuspicionNotice
    | SuspendVersion
    | ConfigurationPush
    | ConfigurationPull
    | StatusPull
    | StatusReport
    | PlacementPush
    | Leave
)
