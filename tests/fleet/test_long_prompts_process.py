"""Real nodes and a prompt whose parts add up to more tokens than a message between nodes holds."""

from __future__ import annotations

import asyncio
from pathlib import Path

from hillstack.platform import names
from tests.fleet.builders import ENGINES, MODEL
from tests.fleet.deployment import Deployment
from tests.fleet.test_node_process import play
from tests.fleet.test_unframed_ends_process import routes

PARTS = 40
MAX_TOKENS = 10**18 - 1


# Guards against a caller's header that ends the messages of a node to its peers: the sum of the
# parts of a prompt did not fit into them.
def test_a_prompt_with_too_many_tokens_affects_no_message_between_nodes(tmp_path: Path) -> None:
    async def scenario(running: Deployment) -> None:
        running.configure(routes=routes())
        await running.add_runner("i-1", ENGINES)
        for number in range(2):
            await running.add_node(f"node-{number}")
        parts = ",".join(f"p{number}:{MAX_TOKENS}" for number in range(PARTS))
        fields = {names.PROMPT_PARTS: parts, names.MODEL: MODEL}
        usage = {names.TOKEN_USAGE: f"{MAX_TOKENS},{MAX_TOKENS}"}
        for number in range(6):
            await running.call(
                running.nodes[0], f"/stream/{number}", f"r-{number}", **fields, **usage
            )
            await asyncio.sleep(0.5)
        for node in running.nodes:
            assert "background task failed" not in node.messages()
            assert await running.readiness(node) == 200

    play(tmp_path, scenario)
