"""The program with a planted fault: what a bad release may be, for plays of a rolling change.

`python -m thornladder.rig.flawed FLAW`, else as `thornladder node --counters`. FLAW is one of: none, start,
tenth, after:SECONDS, unready, leak:BYTES_A_SECOND, slow:OFFERING:SECONDS, nack:SHARE.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Mapping

import anyio

from thornladder.node.clients.connection import InvocationHandler
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.exchange import Exchange
from thornladder.node.messages import ClientResponse, FinalOutcome


class Flaw:
    """A companion that does harm."""

    descriptors = 0

    def __init__(self, words: str) -> None:
        self.kind, _, rest = words.partition(":")
        self.rest = rest.split(":")
        self.count = 0
        self.held: list[bytearray] = []

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        return {}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        self.handler = handler
        self.body_received, self.body_stalled, self.client_disconnected = (
            handler.body_received,
            handler.body_stalled,
            handler.client_disconnected,
        )
        return self, shed_policy

    def start(self, context: NodeContext) -> None:
        context.tasks.start("a planted fault", self._run)

    async def stop(self, has_successor: bool) -> None:
        """Nothing."""

    async def _run(self) -> None:
        if self.kind == "after":
            await anyio.sleep(float(self.rest[0]))
            os._exit(3)
        while self.kind == "leak":
            self.held.append(bytearray(os.urandom(int(float(self.rest[0]) / 10))))
            await anyio.sleep(0.1)

    def start_invocation(self, exchange: Exchange) -> bool:
        self.count += 1
        if self.kind == "tenth" and self.count >= 10:
            os._exit(3)
        if self.kind == "slow" and exchange.invocation.offering == self.rest[0]:
            time.sleep(float(self.rest[1]))
        if self.kind == "nack" and self.count % round(1.0 / float(self.rest[0])) == 0:
            exchange.finish(ClientResponse(FinalOutcome.NACKED))
            return True
        return self.handler.start_invocation(exchange)


def main() -> int:
    from thornladder.__main__ import main
    from thornladder.rollout.counters import Counters

    words = sys.argv[1]
    if words == "start":
        return 3
    if words == "unready":
        time.sleep(3600.0)
    # The counters last: they see the invocation first, and what the flaw does to it.
    return main([Flaw(words), Counters()])


if __name__ == "__main__":
    sys.exit(main())
