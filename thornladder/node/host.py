"""Runs the decision module of one node: gives it a clock and timers, and delivers events to it one at a time.

The module's calls to the host never re-enter the module: pushes, cancels and timers run as tasks of their
own, and responses are handed to the client connections, which write them later.
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio

from thornladder import decide
from thornladder.interface import Idempotency, ListKind, LoadReport, Outcome, State
from thornladder.node.address_owners import AddressOwners
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.discovery.watch import Watch
from thornladder.node.exchange import Exchange
from thornladder.node.maintenance import Departures, Maintenance, MaintenanceMark
from thornladder.node.messages import ClientResponse, DiscoveryResponse, FinalOutcome
from thornladder.node.request_ids import RequestIds
from thornladder.node.tasks import Tasks


class Clock:
    """Unix time that never jumps: read once at the start, then advanced by the monotonic clock.

    Start times in the endpoint list are Unix times and can be compared with it directly.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.offset + time.monotonic()


class EventLoopLag:
    """Decaying peak of the event loop's lag over about the last second, measured by timers that fire late."""

    OVERLOAD_SECONDS = 0.05  # of the latest timer: there is more to do in a turn than requests can wait for
    THRESHOLD_SECONDS = 0.005  # a shorter lag is no more than a response takes on its way to the client
    DECAY = 0.97  # per timer; about twenty fire each second while anything is in flight

    def __init__(self) -> None:
        self.peak = self.latest = 0.0  # seconds

    @property
    def is_late(self) -> bool:
        """Whether the lag is so long that it is worth measuring how long received data has waited."""
        return self.peak > self.THRESHOLD_SECONDS

    @property
    def is_overloaded(self) -> bool:
        """Whether the event loop has just been so late that costly requests are not begun."""
        return self.latest > self.OVERLOAD_SECONDS

    def observe(self, delay: float) -> None:
        """Records by how many seconds a timer fired late."""
        self.peak, self.latest = max(delay, self.DECAY * self.peak), delay


class NodeHost:
    """Connects the decision module to the clients' side, the backends, discovery and the timers.

    Implements `interface.Host` for the module and `InvocationHandler` for the client connections.
    """

    RESPONSE_MARGIN_SECONDS = 0.01  # kept before the client's cut-off, for sending the response
    TIMER_RETRY_SECONDS = 1.0  # delay after which a failed timer runs again; the module's own interval
    # Longest allowance for the event loop's lag, as a fraction of the client's time budget; a longer one
    # would reject invocations that are in time once a brief stall is over.
    MAX_LAG_SHARE = 0.25

    # Longer than any body takes at the minimum rate; the client connection ends slower uploads.
    MAX_UPLOAD_SECONDS = 900.0
    # A node that got no CPU has unread discovery data, which may be older than the drain grace: nothing is
    # pushed before it has been read. A heartbeat shows that the event loop reads; after a late heartbeat the
    # node first reads for CATCH_UP_SECONDS.
    HEARTBEAT_SECONDS, HEARTBEAT_LATE_SECONDS = 0.15, 0.1  # together well below any drain grace
    CATCH_UP_SECONDS = 0.1  # for the unread response, the watch's minimum poll interval, and one more poll
    # Without a response of discovery for this long after the start, the restored list counts as known.
    DISCOVERY_WAIT_SECONDS = 3.0

    def __init__(self, clock: Clock, tasks: Tasks, log: Any, maintenance: Maintenance | None = None) -> None:
        self.clock, self.tasks, self.logger = clock, tasks, log
        self.maintenance = maintenance or Maintenance()
        self.started_at, self.discovery_answered = clock(), False
        self.lag = EventLoopLag()
        self.exchanges: dict[str, Exchange] = {}  # invocations in flight by id
        self.request_ids = RequestIds(clock)
        self.address_owners = AddressOwners()
        self.pending_timers: Counter[str] = Counter()  # by name
        self.last_heartbeat = self.started_at
        self.answer_by = math.inf  # clock time of the last answer, once the process has been told to end
        self.list_stale_since: float | None = None  # while the list is stale, nothing is pushed
        self.node: decide.Node
        self.pushes: PushDispatcher
        self.watch: Watch

    def start(
        self,
        pushes: PushDispatcher,
        watch: Watch,
        restored_list: DiscoveryResponse,
        seed: int,
        list_is_pushed: bool,
        decisions: dict[str, Any],
        limit_per_backend: float = 0.0,
    ) -> None:
        """Creates the decision module with `restored_list`, the configuration file's endpoint list.

        `list_is_pushed`: discovery sends changes unasked, so that the watch starts at once.
        `decisions`: keyword arguments of `decide.Node`. `limit_per_backend`: the concurrency limit that an
        earlier process of this node learned, 0 if unknown.
        """
        self.pushes, self.watch = pushes, watch
        now = self.clock()
        restored_list = self.maintenance.apply(self.address_owners.resolve(restored_list), now)
        self.probes = decisions["limits"].probes
        pushes.on_list(restored_list)
        self.node = decide.Node(self, seed=seed, now=now, limit_per_backend=limit_per_backend, **decisions)
        self.node.on_list(now, ListKind.RESTORED, restored_list.entries)
        self.tasks.supervise("the heartbeat", self._run_heartbeat)
        if list_is_pushed:
            watch.start()

    # Calls of the decision module (`interface.Host`).

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        timeout = min(timeout, self._time_until_exit)
        self.pushes.start_push(self.exchanges[invocation], backend, timeout, send_within)

    def cancel(self, invocation: str, number: int) -> None:
        self.exchanges[invocation].push_scopes[number].cancel()

    def nack(self, invocation: str, retry_after: float) -> None:
        self._deliver(self.exchanges[invocation], ClientResponse(FinalOutcome.NACKED, retry_after))

    def terminate(self, invocation: str) -> None:
        self._deliver(self.exchanges[invocation], ClientResponse(FinalOutcome.TERMINATED))

    def probe(self, backend: str) -> None:
        self.pushes.start_probe(backend)

    def set_timer(self, delay: float, name: str) -> None:
        self.pending_timers[name] += 1
        self.tasks.start("a timer", self._run_timer, delay, name)

    def watch_list(self) -> None:
        self.watch.start()

    def log(self, message: str) -> None:
        self.logger.info(message)

    # Events for the decision module.

    def start_invocation(self, exchange: Exchange) -> bool:
        """Accepts an invocation; returns False if one with the same id is open, or may have run lately."""
        if not self.request_ids.open(exchange.invocation.id):
            return False
        exchange.request_ids = self.request_ids
        self.exchanges[exchange.invocation.id] = exchange
        exchange.received_at = self.clock()
        time_left = self._time_left(
            exchange.time_budget + self.MAX_UPLOAD_SECONDS * exchange.body_incoming, exchange.unread_seconds
        )
        self._dispatch_for(
            exchange, self.node.on_invocation, exchange.invocation._replace(time_left=time_left)
        )
        return True

    def shed_retry_after(self, offering: str, time_left: float, waited: float) -> float | None:
        """Seconds after which the client may retry if the module sheds this unread invocation, else None."""
        try:
            return self.node.shed_unread(
                self.clock(), offering, time_left - self.RESPONSE_MARGIN_SECONDS, waited
            )
        except Exception:
            self.logger.exception("a decision failed", event_name="turns_away")
            return None

    def _time_left(self, time_budget: float, unread_seconds: float) -> float:
        """Seconds that the module may use of the client's `time_budget`.

        Prevents responses past the cut-off when the CPU is short: the invocation has waited unread, and its
        response will wait for as long as the event loop lags. Prevents responses that the process does not
        live to send.
        """
        time_left = (
            time_budget
            - self.RESPONSE_MARGIN_SECONDS
            - unread_seconds
            - min(self.lag.peak, self.MAX_LAG_SHARE * time_budget)
        )
        return max(min(time_left, self._time_until_exit), 0.0)

    @property
    def _time_until_exit(self) -> float:
        """Seconds until a last response has to be ready; inf unless the process has been told to end."""
        return self.answer_by - self.RESPONSE_MARGIN_SECONDS - self.clock()

    @property
    def last_live_at(self) -> float:
        """The latest time at which the event loop is known to have run without delay: now, as a rule.

        What this process finds after it got no CPU, such as a signal, may have come at any time since then.
        """
        return min(self.clock(), self.last_heartbeat + self.HEARTBEAT_SECONDS)

    def begin_shutdown(self, answer_by: float) -> None:
        """Lets no invocation, neither those in flight nor later ones, take longer than until `answer_by`."""
        self.answer_by = answer_by
        deadline = anyio.current_time() + self._time_until_exit
        for exchange in self.unanswered:
            for scope in exchange.push_scopes:
                scope.deadline = min(scope.deadline, deadline)

    def end_unanswered(self) -> None:
        """Terminates every invocation that has no final answer."""
        for exchange in self.unanswered:
            self._terminate_lost(exchange)

    def body_time_left(self, exchange: Exchange, unread_seconds: float) -> float:
        """Seconds for which a body may be held back if its last byte was received `unread_seconds` ago."""
        return self._time_left(exchange.time_budget, unread_seconds)

    def body_received(self, exchange: Exchange, unread_seconds: float) -> None:
        """A streamed body was passed on whole; the client's time has counted for `unread_seconds`."""
        if exchange.finished:
            return
        exchange.body_incoming = False
        time_left = self._time_left(exchange.time_budget, unread_seconds)
        for scope in exchange.push_scopes:
            scope.deadline = anyio.current_time() + time_left
        self._dispatch_for(exchange, self.node.on_whole, exchange.invocation.id, time_left)

    def body_stalled(self, exchange: Exchange) -> None:
        """The body cannot be passed on in time; its push ends as one that never ran."""
        exchange.cancel_pushes()

    def client_disconnected(self, exchange: Exchange) -> None:
        """Tells the module that the client has left, unless the invocation has its final outcome already."""
        if exchange.finished:
            return
        exchange.client_gone = True
        if exchange.body_incoming or exchange.answer_held:
            # The rest of the body will not come, or nobody waits for the answer: ends the push in any case.
            exchange.cancel_pushes()
        self._dispatch_for(exchange, self.node.on_client_gone, exchange.invocation.id)

    def push_ended(
        self,
        exchange: Exchange,
        number: int,
        outcome: Outcome,
        started_at: float,
        answer: ClientResponse | None,
    ) -> None:
        """Delivers the response, if there is one, and tells the module the outcome.

        `number`: of the push within its invocation; `started_at`: by the host's clock.
        """
        exchange.pending_pushes -= 1
        if answer is not None:
            self._deliver(exchange, answer)
        duration = self.clock() - started_at
        id = exchange.invocation.id
        self._dispatch_for(
            exchange, self.node.on_push_ended, id, number, outcome, duration, exchange.finished
        )

    def answer_held(self, exchange: Exchange, number: int, started_at: float) -> None:
        """A backend's answer has begun and waits for room in this node.

        For the module the push has completed: otherwise the backend would look silent and be ejected. The
        client gets the answer once there is room, or a termination when the push's time is up.
        """
        exchange.answer_held = True
        duration = self.clock() - started_at
        self._dispatch(
            self.node.on_push_ended, exchange.invocation.id, number, Outcome.COMPLETED, duration, True
        )

    def probe_ended(self, backend: str, outcome: Outcome, report: LoadReport) -> None:
        """Tells the module how a probe ended; `report` is `NO_REPORT` if it brought none."""
        self._dispatch(self.node.on_probe_ended, backend, outcome, report)

    def on_list_answer(self, answer: DiscoveryResponse | None) -> None:
        """Handles a response of discovery; None: the request failed."""
        if answer is None:
            self.logger.warning("a call for the list failed")
            self._dispatch(self.node.on_list, ListKind.UNAVAILABLE, [], self._watch_stale_at)
            return
        self.discovery_answered = True
        self._apply_list(self.maintenance.apply(self.address_owners.resolve(answer), self.clock()))

    async def _run_heartbeat(self) -> None:
        while True:
            due = self.clock() + self.HEARTBEAT_SECONDS
            await anyio.sleep(self.HEARTBEAT_SECONDS)
            if self.clock() - due > self.HEARTBEAT_LATE_SECONDS:
                await anyio.sleep(self.CATCH_UP_SECONDS)
            self.last_heartbeat = self.clock()
            self._update_staleness(self.last_heartbeat)

    def _update_staleness(self, now: float) -> None:
        stale = now >= self.list_stale_at
        if stale and self.list_stale_since is None:
            self.list_stale_since = now
            self.logger.warning("blind: nothing is pushed until the list is answered for")
        elif not stale and self.list_stale_since is not None:
            self.logger.warning("not blind any more", after=round(now - self.list_stale_since, 3))
            self.list_stale_since = None

    async def wait_until_caught_up(self) -> None:
        """Waits until data that arrived while this process got no CPU has been read."""
        while self.clock() - self.last_heartbeat > self.HEARTBEAT_SECONDS + self.HEARTBEAT_LATE_SECONDS:
            await anyio.sleep(0.2 * self.CATCH_UP_SECONDS)

    @property
    def _watch_stale_at(self) -> float:
        """Time from which the node must respect changes that the watch may have missed.

        By then a change counts as announced and its drain grace is over.
        """
        return self.clock() + self.watch.stale_at - anyio.current_time() + self.pushes.send_grace

    @property
    def list_stale_at(self) -> float:
        """Time from which the list is stale and nothing may be pushed; inf while it is up to date."""
        return min(self._watch_stale_at, self.node.list_stale_at)

    @property
    def unanswered(self) -> list[Exchange]:
        """Invocations in flight whose client still waits for a final answer."""
        return [exchange for exchange in self.exchanges.values() if not exchange.finished]

    @property
    def list_known(self) -> bool:
        """Whether discovery has answered, or DISCOVERY_WAIT_SECONDS are over and there is a restored list."""
        wait_over = self.clock() - self.started_at > self.DISCOVERY_WAIT_SECONDS
        return self.discovery_answered or (wait_over and bool(self.maintenance.entries))

    def update_settings(self, decisions: dict[str, Any], processes: int = 1) -> None:
        """Gives the module new settings; the node's `processes` processes share its limits evenly."""
        self.probes = decisions["limits"].probes
        self._dispatch(
            partial(self.node.on_settings, **{**decisions, "nodes": decisions["nodes"] * processes})
        )

    @property
    def ramp_starts(self) -> dict[str, float]:
        """Start time of the slow start of each backend that is still in it, by id."""
        backends = self.node.registry.backends.items()
        return {id: backend.ramp_start for id, backend in backends if backend.ramp_start is not None}

    @property
    def limit_per_backend(self) -> float:
        """Learned concurrency limit for each backend of this node's share; 0 while it has no backends."""
        admission = self.node.admission
        return admission.concurrency_limit / admission.backend_share if admission.backend_share > 0.0 else 0.0

    def apply_maintenance(self, marks: dict[str, MaintenanceMark]) -> None:
        """Takes backends out of service or puts them back, as marked in any process of this node."""
        changes = self.maintenance.update(marks)
        if changes is None:
            return
        self._apply_list(changes)
        for entry in changes.entries:
            if entry.state is State.RUNNING and self.probes:
                # An earlier ejection concerned the process before its restart; a good probe readmits it.
                self.pushes.start_probe(entry.backend)

    def take_departures(self, departures: Departures) -> None:
        """Takes in what another process of this node was told, until discovery answers this one."""
        changes = self.maintenance.take_departures(departures, self.clock())
        if changes is None:
            return
        backends = sorted(entry.backend for entry in changes.entries)
        self.logger.info("another process knows of backends that leave", backends=backends)
        self._apply_list(changes)

    def _apply_list(self, answer: DiscoveryResponse) -> None:
        # The module first, so that it picks no draining backend even if closing its connections fails.
        self._dispatch(self.node.on_list, answer.kind, answer.entries)
        self.pushes.on_list(answer)

    async def _run_timer(self, delay: float, name: str) -> None:
        due = self.clock() + delay
        await anyio.sleep(max(delay, 0.0))  # anyio rejects negative delays
        late = self.clock() - due
        self.lag.observe(late)
        if self.lag.is_late:
            self._dispatch(self.node.on_late, late)
        self.pending_timers[name] -= 1
        if not self._dispatch(self.node.on_timer, name) and not self.pending_timers[name]:
            # A periodic timer that failed before it set itself again would never come back.
            self.set_timer(self.TIMER_RETRY_SECONDS, name)

    def _dispatch(self, event: Callable[..., None], *args: Any) -> bool:
        """Delivers an event; logs an exception, which must not end the node, and returns False."""
        try:
            event(self.clock(), *args)
        except Exception:
            self.logger.exception("a decision failed", event_name=getattr(event, "__name__", "?"))
            return False
        return True

    def _dispatch_for(self, exchange: Exchange, event: Callable[..., None], *args: Any) -> None:
        """Delivers an event of one invocation; an exception cancels its pushes and terminates it.

        Once no push is in flight the module has given the final outcome; if it failed to, the invocation is
        terminated here, so that no client is left waiting.
        """
        if not self._dispatch(event, *args):
            self._terminate_lost(exchange)
        if exchange.pending_pushes == 0:
            self._deliver(exchange, ClientResponse(FinalOutcome.TERMINATED))
            self._forget(exchange)

    def _forget(self, exchange: Exchange) -> None:
        """Ends an invocation for the host; its id stays open while its answer is written."""
        if self.exchanges.pop(exchange.invocation.id, None) is None:
            return
        offering = self.node.offerings.get(exchange.invocation.offering)
        is_repeatable = offering is None or offering.idempotency is Idempotency.REPEATABLE
        is_nacked = exchange.answer is not None and exchange.answer.outcome is FinalOutcome.NACKED
        exchange.release_id(bool(exchange.push_scopes) and not is_repeatable and not is_nacked)

    def _terminate_lost(self, exchange: Exchange) -> None:
        """Terminates an invocation that the module does not end."""
        self._dispatch(self.node.on_lost, exchange.invocation.id)
        self._deliver(exchange, ClientResponse(FinalOutcome.TERMINATED))
        exchange.cancel_pushes()

    def _deliver(self, exchange: Exchange, answer: ClientResponse) -> None:
        """Hands over the final response; an error there must not fail the push that received it."""
        try:
            exchange.finish(answer)
        except Exception:
            self.logger.exception("a response could not be delivered")
