"""Links between nodes: hints that speed things up, never the truth."""

from runhatch_server.peers._links import Links, PeerLinks
from runhatch_server.peers._messages import (
    DemandCounts,
    DrainingTargets,
    Envelope,
    Fact,
    HostingFact,
    LinkClosed,
    Member,
    PictureDigest,
    PlannerNotice,
    RevisionBody,
    RevisionNotice,
    StateWanted,
    fact_of_member,
    member_of_fact,
)
from runhatch_server.peers._service import PeerService

__all__ = [
    "DemandCounts",
    "DrainingTargets",
    "Envelope",
    "Fact",
    "HostingFact",
    "LinkClosed",
    "Links",
    "Member",
    "PeerLinks",
    "PeerService",
    "PictureDigest",
    "PlannerNotice",
    "RevisionBody",
    "RevisionNotice",
    "StateWanted",
    "fact_of_member",
    "member_of_fact",
]
