"""Software rollouts in the store: encoding their records and statuses, and listing them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage
from hillstack.daemon.change_log import StoredItem
from hillstack.decoding import MalformedDataError, decode_json
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.bodies import RolloutRecordBody, RolloutStatusBody
from hillstack.platform.formats import to_event
from hillstack.serving.store_events import RolloutOrdered, RolloutRecorded

# States in the status that the operator reads. The state stays ``running`` when traffic starts to
# shift.
STATES = {
    RolloutStage.CANARY: "running",
    RolloutStage.SHIFTING: "running",
    RolloutStage.COMPLETE: "complete",
    RolloutStage.REVERTED: "reverted",
}


@dataclass(frozen=True, slots=True)
class RolloutSummary:
    """The order, record and status that the store holds for one service's rollout.

    Attributes:
        order: The operator's current order; None if there is none.
        record: The progress of the rollout; None if no node has written a record yet.
        state: The state and target version of the operator's status; empty if there is none.
    """

    service: str
    order: RolloutOrder | None
    record: RolloutRecord | None
    state: str


def rollout_duty_key(service: str) -> str:
    """Return the key of the duty lease for deciding a service's rollout."""
    return names.ROLLOUT_DUTY_PREFIX + service


def encode_rollout_record(record: RolloutRecord) -> bytes:
    """Return a record in the format of the store."""
    body = RolloutRecordBody(
        record.target,
        record.order_revision.number,
        record.stage.value,
        record.reason,
        list(record.rejected),
        round(record.elapsed_seconds, 3),
    )
    return msgspec.json.encode(body)


def encode_rollout_status(record: RolloutRecord) -> bytes:
    """Return the status that the operator reads, in the format of the store."""
    return msgspec.json.encode(RolloutStatusBody(STATES[record.stage], record.target))


def rollout_summaries(
    orders: Iterable[StoredItem], records: Iterable[StoredItem], statuses: Iterable[StoredItem]
) -> list[RolloutSummary]:
    """Return an entry for each service that has an order, a record or a status in the store."""
    orders_by_service = dict(_orders(orders))
    records_by_service = dict(_records(records))
    states_by_service = dict(_states(statuses))
    services = sorted({*orders_by_service, *records_by_service, *states_by_service})
    return [
        RolloutSummary(
            service,
            orders_by_service.get(service),
            records_by_service.get(service),
            states_by_service.get(service, ""),
        )
        for service in services
    ]


def _orders(items: Iterable[StoredItem]) -> Iterator[tuple[str, RolloutOrder]]:
    for item in items:
        event = to_event(item)
        if isinstance(event, RolloutOrdered):
            yield event.order.service, event.order


def _records(items: Iterable[StoredItem]) -> Iterator[tuple[str, RolloutRecord]]:
    for item in items:
        event = to_event(item)
        if isinstance(event, RolloutRecorded):
            yield event.record.service, event.record


def _states(items: Iterable[StoredItem]) -> Iterator[tuple[str, str]]:
    for item in items:
        service = item.key.removeprefix(names.ROLLOUT_STATUS_PREFIX)
        try:
            body = decode_json(item.value or b"", RolloutStatusBody)
        except MalformedDataError as error:
            raise PlatformError(str(error), step="read rollout status", peer=item.key) from error
        yield service, f"{body.state} {body.target_version}"
