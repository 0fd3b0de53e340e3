"""The node program with a planted fault, for scenarios that roll out a bad release.

`python -m thornladder.rig.flawed FLAW` runs a node as `thornladder node --counters` does. FLAW is one of:

    none                   no fault
    start                  exits at its start with code 3
    tenth                  exits with code 3 at its tenth invocation
    after:SECONDS          exits with code 3 after this time
    unready                never becomes ready: sleeps for an hour before it starts
    leak:BYTES_A_SECOND    leaks memory at this rate
    slow:OFFERING:SECONDS  blocks for this time at each invocation of the offering
    nack:SHARE             nacks this share of the invocations
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Mapping

import anyio

from thornladder.node.clients.early import ShedPolicy
from thornladder.node.clients.server_state import InvocationHandler
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.exchange import Exchange
from thornladder.node.messages import ClientResponse, FinalOutcome


class PlantedFault:
    """A node extension that misbehaves as FLAW says."""

    descriptors = 0

    def __init__(self, flaw: str) -> None:
        self.kind, _, arguments = flaw.partition(":")
        self.arguments = arguments.split(":")
        self.invocation_count = 0
        self.leaked_blocks: list[bytearray] = []

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        """Serves none."""
        return {}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        """Puts this extension before the handler; all calls but `start_invocation` go straight to it."""
        self.handler = handler
        self.body_time_left, self.body_received = handler.body_time_left, handler.body_received
        self.body_stalled, self.client_disconnected = handler.body_stalled, handler.client_disconnected
        return self, shed_policy

    def start(self, context: NodeContext) -> None:
        """Starts the task for the faults `after` and `leak`."""
        context.tasks.start("a planted fault", self._run)

    async def stop(self, has_successor: bool) -> None:
        """Does nothing."""

    async def _run(self) -> None:
        if self.kind == "after":
            await anyio.sleep(float(self.arguments[0]))
            os._exit(3)
        while self.kind == "leak":
            self.leaked_blocks.append(bytearray(os.urandom(int(float(self.arguments[0]) / 10))))
            await anyio.sleep(0.1)

    def start_invocation(self, exchange: Exchange) -> bool:
        """Handles an invocation, with the faults `tenth`, `slow` and `nack`."""
        self.invocation_count += 1
        if self.kind == "tenth" and self.invocation_count >= 10:
            os._exit(3)
        if self.kind == "slow" and exchange.invocation.offering == self.arguments[0]:
            time.sleep(float(self.arguments[1]))
        if self.kind == "nack" and self.invocation_count % round(1.0 / float(self.arguments[0])) == 0:
            exchange.finish(ClientResponse(FinalOutcome.NACKED))
            return True
        return self.handler.start_invocation(exchange)


def main() -> int:
    """Runs the node until it ends; returns the exit code."""
    from thornladder.__main__ import main
    from thornladder.rollout.counters import Counters

    flaw = sys.argv[1]
    if flaw == "start":
        return 3
    if flaw == "unready":
        time.sleep(3600.0)
    # The counters come last and so wrap the planted fault: they also count what it does to an invocation.
    return main([PlantedFault(flaw), Counters()])


if __name__ == "__main__":
    sys.exit(main())
