"""An emulated application, which records each execution and answers with its number.

``GET /status`` returns the incarnation and whether the application is draining;
``GET /emulator/executions`` lists all executions; ``POST /emulator/faults`` sets faults. All other
requests are executed.
"""

from __future__ import annotations

import asyncio
import time
import uuid

from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class ApplicationFaults(BaseModel):
    """Faults that tests inject.

    Attributes:
        delay: Seconds between execution and answer.
        cross_answers: Answer with the identifier of another request.
        lose_answers: Close the connection after execution, without an answer.
        refuse: Answer 503 without executing the request.
        draining: Report draining on the status page and refuse requests.
    """

    model_config = ConfigDict(extra="forbid")

    delay: float = 0.01
    cross_answers: bool = False
    lose_answers: bool = False
    refuse: bool = False
    draining: bool = False


class EmulatedApplication:
    """The state and the request handlers of one application process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = uuid.uuid4().hex
        self.faults = ApplicationFaults()
        self.executions: list[dict[str, object]] = []

    def app(self) -> Starlette:
        """Return the HTTP application."""
        methods = ["GET", "POST", "PUT", "DELETE"]
        return Starlette(
            routes=[
                Route("/status", self._status),
                Route("/emulator/executions", self._list_executions),
                Route("/emulator/faults", self._set_faults, methods=["POST"]),
                Route("/{path:path}", self._execute, methods=methods),
            ]
        )

    async def _status(self, request: Request) -> Response:
        return JSONResponse({"incarnation": self.incarnation, "draining": self.faults.draining})

    async def _list_executions(self, request: Request) -> Response:
        return JSONResponse(self.executions)

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = ApplicationFaults.model_validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        return JSONResponse(self.faults.model_dump())

    async def _execute(self, request: Request) -> Response:
        faults = self.faults
        if faults.refuse or faults.draining:
            return JSONResponse({"error": "not taking work"}, status_code=503)
        body = await request.body()
        request_id = request.headers.get("x-request-id", "")
        entry = {
            "application": self.name,
            "number": len(self.executions) + 1,
            "request": request_id,
            "key": request.headers.get("idempotency-key", ""),
            "method": request.method,
            "path": request.url.path,
            "at": time.time(),
        }
        self.executions.append(entry)
        await asyncio.sleep(faults.delay)
        if faults.lose_answers:
            raise ConnectionResetError("emulated loss of the answer")
        echoed = "crossed" if faults.cross_answers else request_id
        answer = entry | {"bytes": len(body)}
        return JSONResponse(answer, headers={"x-request-id": echoed})
