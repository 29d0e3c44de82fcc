"""Messages through the relays of zones, for fleets with too many nodes for direct notices.

The relay of a zone adds up the loads of the zone's nodes, because other zones need only the load of
the whole zone on each runner. Relays forward all other data as encoded by the original sender.
"""

from __future__ import annotations

import msgspec

from hillstack.messages.packing import PackedMessage
from hillstack.messages.peer_notices import LoadNotice


class NodeReport(PackedMessage, array_like=True, frozen=True):
    """A report that a node sends to the relay of its zone.

    Attributes:
        incarnation: Identifies the sender's process; each start of the sender has another one.
        loads: The sender's loads that have changed; the relay adds them up and does not forward
            them individually.
        notice: An encoded ``NodeNotice`` without loads.
        is_news: Whether ``notice`` contains more than a heartbeat.
        is_urgent: Whether the relay must forward ``notice`` at once.
    """

    node_id: str
    incarnation: int
    loads: list[LoadNotice] = msgspec.field(default_factory=list)
    notice: bytes = b""
    is_news: bool = False
    is_urgent: bool = False


class ZoneLoads(msgspec.Struct, array_like=True, frozen=True):
    """Loads that all nodes of a zone together put on runners."""

    zone: str
    loads: list[LoadNotice]


class RelayBatch(PackedMessage, array_like=True, frozen=True):
    """A batch of loads and notices that a relay forwards.

    Attributes:
        zone: Zone of the relay.
        loads: Changed loads, by zone.
        notices: Encoded ``NodeNotice`` messages of several nodes; a notice that the receiver itself
            has sent can be among them.
        region: For a cross-region batch, the region in which the batch originated; empty for a
            batch within the relay's region. A receiver does not send a cross-region batch to other
            regions again.
    """

    relay_id: str
    zone: str
    loads: list[ZoneLoads] = msgspec.field(default_factory=list)
    notices: list[bytes] = msgspec.field(default_factory=list)
    region: str = ""
