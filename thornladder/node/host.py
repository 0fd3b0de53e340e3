"""Hosts the one decision module of this node: its clock, its timers, and every event, one at a time.

No call that the module makes here leads back into it: pushes, cancels and timers run as tasks of their own,
and answers are handed to the clients' side, which writes them later.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio

from thornladder import decide
from thornladder.interface import ListKind, LoadReport, Outcome, State
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.discovery.watch import Watch
from thornladder.node.exchange import Exchange
from thornladder.node.maintenance import Maintenance, Mark
from thornladder.node.messages import ClientResponse, DiscoveryResponse, FinalOutcome
from thornladder.node.tasks import Tasks


class Clock:
    """Unix time as of the start, then by the monotonic clock: the list's start times fit as they are."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.offset + time.monotonic()


class EventLoopLag:
    """How late this node has lately been: the worst of a second or so, by its own timers."""

    LATE = 0.005  # seconds: under it a wait is no more than an answer's way back
    FADE = 0.97  # at each timer, of which twenty come a second while anything is in hand

    def __init__(self) -> None:
        self.worst = 0.0

    @property
    def is_late(self) -> bool:
        """Whether what comes has waited for long enough to ask how long."""
        return self.worst > self.LATE

    def seen(self, late: float) -> None:
        self.worst = max(late, self.FADE * self.worst)


class NodeHost:
    WAY_BACK = 0.01  # seconds before a client's cut-off by which its answer goes out
    AGAIN = 1.0  # seconds until a timer comes again whose event met an error: one interval of the module
    MOST_LAG = 0.25  # of the time left: more would cost answers in time for a hiccup that is over

    COMING = 900.0  # seconds: longer than any body takes that keeps its pace; the clients' side ends others
    # A node that got no core has news unread, which may be older than the grace: nothing is pushed before it
    # has looked. Every LOOK seconds it notes that it is awake; noted too late, it reads for CATCH_UP first.
    LOOK, LATE_LOOK = 0.15, 0.1  # seconds; together well within any grace
    CATCH_UP = 0.1  # seconds: the answer that lies unread, the watch's pace, and one more call
    KNOWN_BY = 3.0  # seconds after which the list that it was started with has to do

    def __init__(self, clock: Clock, tasks: Tasks, log: Any, maintenance: Maintenance | None = None) -> None:
        self.clock, self.tasks, self.logger = clock, tasks, log
        self.maintenance = maintenance or Maintenance()
        self.began, self.told = clock(), False  # told: discovery has answered since the start
        self.lag = EventLoopLag()
        self.exchanges: dict[str, Exchange] = {}
        self.pending: Counter[str] = Counter()  # timers by name
        self.awake_at = self.began  # when it last noted that it reads what comes
        self.blind_since: float | None = None  # while news that it does not have binds it: nothing is pushed
        self.node: decide.Node
        self.pushes: PushDispatcher
        self.watch: Watch

    def start(
        self,
        pushes: PushDispatcher,
        watch: Watch,
        known: DiscoveryResponse,
        seed: int,
        told: bool,
        decisions: dict[str, Any],
        room: float = 0.0,
    ) -> None:
        self.pushes, self.watch = pushes, watch
        now = self.clock()
        known = self.maintenance.lay(known, now)
        self.probes = decisions["limits"].probes
        pushes.on_list(known)
        self.node = decide.Node(self, seed=seed, now=now, limit_per_backend=room, **decisions)
        self.node.on_list(now, ListKind.RESTORED, known.entries)
        self.tasks.supervise("a look at the clock", self._look)
        if told:
            watch.start()

    # The module's calls.

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.pushes.start_push(self.exchanges[invocation], backend, timeout, send_within)

    def cancel(self, invocation: str, number: int) -> None:
        self.exchanges[invocation].push_scopes[number].cancel()

    def nack(self, invocation: str, retry_after: float) -> None:
        self._finish(self.exchanges[invocation], ClientResponse(FinalOutcome.NACKED, retry_after))

    def terminate(self, invocation: str) -> None:
        self._finish(self.exchanges[invocation], ClientResponse(FinalOutcome.TERMINATED))

    def probe(self, backend: str) -> None:
        self.pushes.start_probe(backend)

    def set_timer(self, delay: float, name: str) -> None:
        self.pending[name] += 1
        self.tasks.start("a timer", self._timer, delay, name)

    def watch_list(self) -> None:
        self.watch.start()

    def log(self, words: str) -> None:
        self.logger.info(words)

    # What happens.

    def start_invocation(self, exchange: Exchange) -> bool:
        """Takes an invocation; not one whose id is in hand, since ids tell invocations apart."""
        if exchange.invocation.id in self.exchanges:
            return False
        self.exchanges[exchange.invocation.id] = exchange
        left = self._time_left(
            exchange.time_budget + self.COMING * exchange.body_incoming, exchange.unread_seconds
        )
        self._tell_of(exchange, self.node.on_invocation, exchange.invocation._replace(time_left=left))
        return True

    def shed_retry_after(self, offering: str, time_left: float, waited: float) -> float | None:
        """When to come back, if the module turns this away before it is read."""
        try:
            return self.node.shed_unread(self.clock(), offering, time_left - self.WAY_BACK, waited)
        except Exception:
            self.logger.exception("a decision failed", event_name="turns_away")
            return None

    def _time_left(self, given: float, waited: float) -> float:
        """Seconds for the module, of those that a client gives.

        Guards against answers past the cut-off when the processor is short: what came has waited unread, and
        will wait on its way out for as long as this node is late.
        """
        return max(given - self.WAY_BACK - waited - min(self.lag.worst, self.MOST_LAG * given), 0.0)

    def body_received(self, exchange: Exchange) -> None:
        """The last byte of a large invocation has come; from here on its client's time counts."""
        if exchange.finished:
            return
        exchange.body_incoming = False
        left = self._time_left(exchange.time_budget, 0.0)
        for scope in exchange.push_scopes:
            scope.deadline = anyio.current_time() + left
        self._tell_of(exchange, self.node.on_whole, exchange.invocation.id, left)

    def body_stalled(self, exchange: Exchange) -> None:
        """What comes is not taken: its push ends, as one that never ran."""
        exchange.cancel_pushes()

    def client_disconnected(self, exchange: Exchange) -> None:
        if exchange.finished:
            return
        exchange.client_gone = True
        if exchange.body_incoming:
            exchange.cancel_pushes()  # nothing more comes to pass on, whatever may be cancelled otherwise
        self._tell_of(exchange, self.node.on_client_gone, exchange.invocation.id)

    def push_ended(
        self, exchange: Exchange, number: int, outcome: Outcome, sent: float, answer: ClientResponse | None
    ) -> None:
        exchange.pending_pushes -= 1
        if answer is not None:
            self._finish(exchange, answer)
        took = self.clock() - sent
        id = exchange.invocation.id
        self._tell_of(exchange, self.node.on_push_ended, id, number, outcome, took, exchange.finished)

    def probe_ended(self, backend: str, outcome: Outcome, report: LoadReport) -> None:
        self._tell(self.node.on_probe_ended, backend, outcome, report)

    def on_list_answer(self, answer: DiscoveryResponse | None) -> None:
        if answer is None:
            self.logger.warning("a call for the list failed")
            self._tell(self.node.on_list, ListKind.UNAVAILABLE, [], self._deaf_at)
            return
        self.told = True
        self._tell_list(self.maintenance.lay(answer, self.clock()))

    async def _look(self) -> None:
        while True:
            due = self.clock() + self.LOOK
            await anyio.sleep(self.LOOK)
            if self.clock() - due > self.LATE_LOOK:
                await anyio.sleep(self.CATCH_UP)
            self.awake_at = self.clock()
            self._note_blindness(self.awake_at)

    def _note_blindness(self, now: float) -> None:
        blind = now >= self.list_stale_at
        if blind and self.blind_since is None:
            self.blind_since = now
            self.logger.warning("blind: nothing is pushed until the list is answered for")
        elif not blind and self.blind_since is not None:
            self.logger.warning("not blind any more", after=round(now - self.blind_since, 3))
            self.blind_since = None

    async def wait_until_caught_up(self) -> None:
        """Returns once what came while this node got no core has been read."""
        while self.clock() - self.awake_at > self.LOOK + self.LATE_LOOK:
            await anyio.sleep(0.2 * self.CATCH_UP)

    @property
    def _deaf_at(self) -> float:
        """When what the watch may have missed binds: once it counts as told, and its grace is over."""
        return self.clock() + self.watch.stale_at - anyio.current_time() + self.pushes.send_grace

    @property
    def list_stale_at(self) -> float:
        """From when on this node is held to news that it does not have; inf while it has all."""
        return min(self._deaf_at, self.node.list_stale_at)

    @property
    def list_known(self) -> bool:
        """Whether the list is fresh, or there is one and discovery has had its time."""
        late = self.clock() - self.began > self.KNOWN_BY
        return self.told or (late and bool(self.maintenance.entries))

    def settle(self, decisions: dict[str, Any], processes: int = 1) -> None:
        """New settings for the module. Beside another process of this node it has half of the node's."""
        self.probes = decisions["limits"].probes
        self._tell(partial(self.node.on_settings, **{**decisions, "nodes": decisions["nodes"] * processes}))

    @property
    def starts(self) -> dict[str, float]:
        """Since when the module ramps those backends that it still does."""
        known = self.node.registry.backends.items()
        return {id: backend.ramp_start for id, backend in known if backend.ramp_start is not None}

    @property
    def room(self) -> float:
        """How many pushes for each backend that is this node's may be out, as the module has learned."""
        admission = self.node.admission
        return admission.concurrency_limit / admission.backend_share if admission.backend_share > 0.0 else 0.0

    def mark(self, marks: dict[str, Mark]) -> None:
        """Takes backends out by hand or puts them back, whoever was asked to."""
        news = self.maintenance.set(marks)
        if news is None:
            return
        self._tell_list(news)
        for entry in news.entries:
            if entry.state is State.RUNNING and self.probes:
                # What it was ejected for before was another process: its answer brings it back at once.
                self.pushes.start_probe(entry.backend)

    def _tell_list(self, answer: DiscoveryResponse) -> None:
        # The module first: what drains is no longer picked, whatever becomes of its connections.
        self._tell(self.node.on_list, answer.kind, answer.entries)
        self.pushes.on_list(answer)

    async def _timer(self, delay: float, name: str) -> None:
        due = self.clock() + delay
        await anyio.sleep(max(delay, 0.0))  # the library takes a negative one as an error
        late = self.clock() - due
        self.lag.seen(late)
        if self.lag.is_late:
            self._tell(self.node.on_late, late)
        self.pending[name] -= 1
        if not self._tell(self.node.on_timer, name) and not self.pending[name]:
            self.set_timer(self.AGAIN, name)  # else what it sets anew each time would never come again

    def _tell(self, event: Callable[..., None], *what: Any) -> bool:
        """An error in the decisions does not end the node."""
        try:
            event(self.clock(), *what)
        except Exception:
            self.logger.exception("a decision failed", event_name=getattr(event, "__name__", "?"))
            return False
        return True

    def _tell_of(self, exchange: Exchange, event: Callable[..., None], *what: Any) -> None:
        """An error ends the one invocation: its pushes are cancelled, its client is not left waiting.

        With nothing out the module has answered; should it have failed to, this does.
        """
        if not self._tell(event, *what):
            self._tell(self.node.on_lost, exchange.invocation.id)
            self._finish(exchange, ClientResponse(FinalOutcome.TERMINATED))
            exchange.cancel_pushes()
        if exchange.pending_pushes == 0:
            self._finish(exchange, ClientResponse(FinalOutcome.TERMINATED))
            self.exchanges.pop(exchange.invocation.id, None)

    def _finish(self, exchange: Exchange, answer: ClientResponse) -> None:
        """An error in a client's connection is that connection's, and not the push's whose answer it is."""
        try:
            exchange.finish(answer)
        except Exception:
            self.logger.exception("an answer could not be delivered")
