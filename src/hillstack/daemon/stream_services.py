"""Wires the parts that keep streams at the software version that began them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hillstack.core.stream_origins import StreamOrigins
from hillstack.daemon.origin_exchange import OriginExchange
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.stream_recorder import StreamRecorder
from hillstack.platform.store import MetadataStore
from hillstack.platform.stream_records import StreamRecords
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.stream_versions import StreamVersions
from hillstack.serving.version_choice import VersionChoice

# Names a process among those that a node has had within a minute.
PROCESS_NAME_BITS = 48


@dataclass(frozen=True, slots=True)
class StreamServices:
    """The parts of one node.

    Attributes:
        versions: Restricts streams that are taken up.
        recorder: Records in the store what nodes that start have to know.
    """

    versions: StreamVersions
    recorder: StreamRecorder


def make_stream_services(
    state: FleetState,
    store: MetadataStore,
    link: PeerLink,
    choice: VersionChoice,
    address: str,
    clock: Callable[[], float],
    rng: Random,
) -> StreamServices:
    """Make the parts.

    Args:
        state: State of the node.
        store: The platform's store.
        link: Sends and receives datagrams.
        choice: Chooses runners by their version.
        address: ``IP:PORT`` at which the node receives datagrams.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """
    origins = StreamOrigins(clock())
    process = f"{rng.getrandbits(PROCESS_NAME_BITS):x}"
    records = StreamRecords(store, state.node_id, process, clock)
    recorder = StreamRecorder(state, origins, records, clock)
    exchange = OriginExchange(state, link, origins, address, clock)
    versions = StreamVersions(state, origins, exchange, clock, recorder)
    choice.handle_began(versions.began)
    choice.handle_may_begin(versions.may_begin)
    return StreamServices(versions, recorder)
