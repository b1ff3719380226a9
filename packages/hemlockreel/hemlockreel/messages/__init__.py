"""Messages between daemons.

They are :class:`msgspec.Struct` rather than ``NamedTuple``, since the codec
needs a tagged union to distinguish them on the wire. ``sender`` is the peer
address (``IP:PORT``) of the sending daemon; ``epoch`` distinguishes the runs
of the daemon at that address.
"""

from .limits import PermitAsked
from .limits import PermitGiven
from .limits import ReplicaLimited
from .members import Ack
from .members import Gossip
from .members import MemberUpdate
from .members import Ping
from .members import PingRequest
from .members import Sync
from .members import SyncRequest
from .organisations import KnownOrganisation
from .organisations import OrganisationsAsked
from .organisations import OrganisationsKnown
from .paces import PacesTold
from .paces import ReplicaPace
from .paces import ReplicaTimes
from .paces import TimesReported
from .parts import BlockedPart
from .parts import PartsJudged
from .parts import PartsWorked
from .parts import PromptPart
from .parts import RunBroke
from .paths import PauseTold
from .placement import HeldPlace
from .placement import PlaceAsked
from .placement import PlaceFreed
from .placement import PlaceGiven
from .placement import PlaceQueued
from .placement import PlaceRefused
from .placement import PlacesHeld
from .region import ListRead
from .region import ReplicaChanging
from .region import ReplicaLeaving
from .region import ReplicaReport
from .region import ShardPlan
from .region import ShardReport
from .replication import DocumentOffer
from .replication import DocumentUpdate
from .replication import DocumentVersion
from .requests import Abandoned
from .requests import AdmissionRequest
from .requests import FirstToken
from .requests import Grant
from .requests import GrantList
from .requests import GrantQuery
from .requests import GrantReport
from .requests import Heartbeat
from .requests import HeartbeatMismatch
from .requests import HeldGrant
from .requests import Moved
from .requests import NotOwner
from .requests import Prefilled
from .requests import Queued
from .requests import Refusal
from .requests import Release
from .requests import Revoked
from .requests import Withdraw
from .shared import Message
from .streams import BegunStream
from .streams import StreamAsked
from .streams import StreamKnown
from .streams import StreamsBegun
from .usage import Loan
from .usage import UsageAsked
from .usage import UsageLent
from .usage import UsageReturned
from .usage import Want
from .wire import AnyMessage
from .wire import decode
from .wire import encode

__all__ = [
    "Abandoned",
    "Ack",
    "AdmissionRequest",
    "AnyMessage",
    "BegunStream",
    "BlockedPart",
    "DocumentOffer",
    "DocumentUpdate",
    "DocumentVersion",
    "FirstToken",
    "Gossip",
    "Grant",
    "GrantList",
    "GrantQuery",
    "GrantReport",
    "Heartbeat",
    "HeartbeatMismatch",
    "HeldGrant",
    "HeldPlace",
    "KnownOrganisation",
    "ListRead",
    "Loan",
    "MemberUpdate",
    "Message",
    "Moved",
    "NotOwner",
    "OrganisationsAsked",
    "OrganisationsKnown",
    "PacesTold",
    "PartsJudged",
    "PartsWorked",
    "PauseTold",
    "PermitAsked",
    "PermitGiven",
    "Ping",
    "PingRequest",
    "PlaceAsked",
    "PlaceFreed",
    "PlaceGiven",
    "PlaceQueued",
    "PlaceRefused",
    "PlacesHeld",
    "Prefilled",
    "PromptPart",
    "Queued",
    "Refusal",
    "Release",
    "ReplicaChanging",
    "ReplicaLeaving",
    "ReplicaLimited",
    "ReplicaPace",
    "ReplicaReport",
    "ReplicaTimes",
    "Revoked",
    "RunBroke",
    "ShardPlan",
    "ShardReport",
    "StreamAsked",
    "StreamKnown",
    "StreamsBegun",
    "Sync",
    "SyncRequest",
    "TimesReported",
    "UsageAsked",
    "UsageLent",
    "UsageReturned",
    "Want",
    "Withdraw",
    "decode",
    "encode",
]
