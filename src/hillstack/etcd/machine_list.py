"""Client of the platform's machine list."""

from __future__ import annotations

from typing import Any, Literal

import aiohttp
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from hillstack.answer_bodies import read_json
from hillstack.errors import PlatformError, PlatformUnavailableError
from hillstack.messages.types import BackendKind, Machine

LIST_TIMEOUT_SECONDS = 3.0


class MachineEntry(BaseModel):
    """An entry of the machine list, in the format of the platform."""

    model_config = ConfigDict(extra="ignore")

    id: str
    kind: Literal["engine", "application"]
    pool: str
    zone: str
    address: str
    events_address: str = ""
    replay_address: str = ""
    state: Literal["live", "leaving"] = "live"

    def machine(self) -> Machine:
        """Return the entry in the form that routing uses."""
        return Machine(
            machine_id=self.id,
            kind=BackendKind(self.kind),
            pool=self.pool,
            zone=self.zone,
            address=self.address,
            events_address=self.events_address,
            replay_address=self.replay_address,
            leaving=self.state == "leaving",
        )


_ENTRIES = TypeAdapter(list[MachineEntry])


async def fetch_machines(session: aiohttp.ClientSession, address: str) -> list[Machine]:
    """Fetch the machine list from the platform.

    Raises:
        PlatformError: The list could not be read or is malformed.
    """
    timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_SECONDS)
    try:
        async with session.get(f"http://{address}/v1/machines", timeout=timeout) as response:
            if response.status != 200:
                text = f"status {response.status}"
                raise PlatformUnavailableError(text, step="list machines", peer=address)
            content: dict[str, Any] = await read_json(response)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise PlatformError(repr(error), step="list machines", peer=address) from error
    try:
        entries = _ENTRIES.validate_python(content.get("machines"))
    except (ValidationError, AttributeError) as error:
        raise PlatformError(str(error), step="list machines", peer=address) from error
    return [entry.machine() for entry in entries]
