"""Collects the loads and notices that a relay sends to one kind of receiver in batches."""

from __future__ import annotations

from collections.abc import Iterator

from hillstack.messages.peer_notices import PROTOCOL_VERSION, LoadNotice
from hillstack.messages.relay_batches import RelayBatch, ZoneLoads

# A relay without updates sends an empty batch at this interval to show that it is running.
HEARTBEAT_SECONDS = 0.3
# A heartbeat is due after this time without a datagram. A relay checks twice per heartbeat
# interval, so a heartbeat that were due only after the whole interval could be late by half of it.
DUE_SECONDS = 0.75 * HEARTBEAT_SECONDS
# Notices are split into batches of this size, so that a jumbo frame of 9,000 bytes holds a whole
# batch: a larger datagram is fragmented, and lost if any fragment is lost. All loads go into the
# first batch, which is larger if there are about 200 of them; so is a batch with one large notice.
MAX_BATCH_BYTES = 8_000
# Encoded size of a batch without its entries, and of one load with the longest names seen.
BATCH_OVERHEAD_BYTES = 200
LOAD_BYTES = 40


class RelayOutbox:
    """The unsent loads and notices for one kind of receiver.

    Attributes:
        loads: Loads by zone and runner.
        notices: Encoded notices.
        sent_at: When a batch was last sent.

    Args:
        region: Region that sends the batches; empty if they do not leave their region.
    """

    def __init__(self, region: str = "") -> None:
        self._region = region
        self.loads: dict[str, dict[str, LoadNotice]] = {}
        self.notices: list[bytes] = []
        self.sent_at = float("-inf")

    def add_zone(self, zone: str) -> None:
        """Report that a zone is alive."""
        self.loads.setdefault(zone, {})

    def add_load(self, zone: str, load: LoadNotice) -> None:
        """Report the load that a zone has on a runner; replaces an unsent one."""
        self.loads.setdefault(zone, {})[load.runner_id] = load

    def is_due(self, now: float) -> bool:
        """Return whether there is anything to send, or a heartbeat is due."""
        return self.has_updates() or self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Return whether a heartbeat is due because nothing was sent for a while."""
        return now - self.sent_at >= DUE_SECONDS

    def has_updates(self) -> bool:
        """Return whether there are loads or notices to send."""
        return bool(self.loads or self.notices)

    def batches(self, relay_id: str, zone: str) -> Iterator[RelayBatch]:
        """Yield the content in batches, at least one; the first step clears the outbox."""
        loads, notices = self.loads, self.notices
        self.loads, self.notices = {}, []
        by_zone = [ZoneLoads(zone_name, list(by_id.values())) for zone_name, by_id in loads.items()]
        load_count = sum(len(by_id) for by_id in loads.values())
        free_bytes = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES - LOAD_BYTES * load_count
        group: list[bytes] = []
        for notice in notices:
            if group and len(notice) > free_bytes:
                yield RelayBatch(PROTOCOL_VERSION, relay_id, zone, by_zone, group, self._region)
                group, by_zone, free_bytes = [], [], MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES
            group.append(notice)
            free_bytes -= len(notice)
        yield RelayBatch(PROTOCOL_VERSION, relay_id, zone, by_zone, group, self._region)
