"""The codec of messages: MessagePack, with a tag for the message class."""

import msgspec

from . import limits
from . import members
from . import organisations
from . import paces
from . import parts
from . import paths
from . import placement
from . import region
from . import replication
from . import requests
from . import shared
from . import streams
from . import usage

AnyMessage = (
    members.Ping
    | members.PingRequest
    | members.Ack
    | members.SyncRequest
    | members.Sync
    | members.Gossip
    | replication.DocumentOffer
    | replication.DocumentUpdate
    | requests.AdmissionRequest
    | requests.Grant
    | requests.Refusal
    | requests.Queued
    | requests.Withdraw
    | requests.Prefilled
    | requests.FirstToken
    | requests.Release
    | requests.Heartbeat
    | requests.HeartbeatMismatch
    | requests.GrantList
    | requests.Revoked
    | requests.GrantQuery
    | requests.GrantReport
    | requests.Moved
    | requests.NotOwner
    | requests.Abandoned
    | region.ShardReport
    | region.ShardPlan
    | region.ReplicaChanging
    | region.ReplicaLeaving
    | region.ListRead
    | limits.ReplicaLimited
    | limits.PermitAsked
    | limits.PermitGiven
    | paces.TimesReported
    | paces.PacesTold
    | organisations.OrganisationsAsked
    | organisations.OrganisationsKnown
    | parts.RunBroke
    | parts.PartsWorked
    | parts.PartsJudged
    | paths.PauseTold
    | placement.PlaceAsked
    | placement.PlaceGiven
    | placement.PlaceQueued
    | placement.PlaceRefused
    | placement.PlaceFreed
    | placement.PlacesHeld
    | streams.StreamsBegun
    | streams.StreamAsked
    | streams.StreamKnown
    | usage.UsageAsked
    | usage.UsageLent
    | usage.UsageReturned
)

_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: shared.Message) -> bytes:
    """Returns the bytes of ``message``."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> shared.Message | None:
    """Returns the message in ``data``, ``None`` if it is not a valid one."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None
