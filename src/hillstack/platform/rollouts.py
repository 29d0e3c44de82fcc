"""Rollouts of software as they lie in the store: what is written, and what a person is shown."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage
from hillstack.daemon.change_log import StoredItem
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.bodies import RolloutRecordBody, RolloutStatusBody
from hillstack.platform.formats import to_event
from hillstack.serving.store_events import RolloutOrdered, RolloutRecorded

# While the traffic shifts the operator is told what it was told before: it is running.
STATES = {
    RolloutStage.CANARY: "running",
    RolloutStage.SHIFTING: "running",
    RolloutStage.COMPLETE: "complete",
    RolloutStage.REVERTED: "reverted",
}


@dataclass(frozen=True, slots=True)
class RolloutLine:
    """A rollout as the store tells of it.

    Attributes:
        order: The order that stands; None if there is none.
        record: How far it is; None if no node has written that yet.
        state: What the operator was told, with the version that it is about; empty if nothing.
    """

    service: str
    order: RolloutOrder | None
    record: RolloutRecord | None
    state: str


def rollout_duty_key(service: str) -> str:
    """Return the key of the duty of deciding a service's rollout."""
    return names.ROLLOUT_DUTY_PREFIX + service


def encode_rollout_record(record: RolloutRecord) -> bytes:
    """Return a record as it lies in the store."""
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
    """Return what the operator is told of a record."""
    return msgspec.json.encode(RolloutStatusBody(STATES[record.stage], record.target))


def rollout_lines(
    orders: Iterable[StoredItem], records: Iterable[StoredItem], statuses: Iterable[StoredItem]
) -> list[RolloutLine]:
    """Return what the store tells of each service with an order, a record or a status."""
    known_orders = dict(_orders(orders))
    known_records = dict(_records(records))
    states = dict(_states(statuses))
    services = sorted({*known_orders, *known_records, *states})
    return [
        RolloutLine(
            service, known_orders.get(service), known_records.get(service), states.get(service, "")
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
            body = msgspec.json.decode(item.value or b"", type=RolloutStatusBody)
        except msgspec.MsgspecError as error:
            raise PlatformError(str(error), step="read rollout status", peer=item.key) from error
        yield service, f"{body.state} {body.target_version}"
