"""Listens at the second address. Each caller has a task and a time of its own, and shuts out no other."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from thornladder.node.admin.calls import (
    MAX_BODY_BYTES,
    NOTHING,
    AdminRequest,
    AdminResponse,
    RequestReader,
    error_response,
)
from thornladder.node.tasks import Tasks


class Caller:
    """One connection: one call and its answer."""

    def __init__(self, raw: socket.socket, further: Mapping[str, bytes], most: int) -> None:
        self.raw, self.reader = raw, RequestReader(further, most)
        self.scope = anyio.CancelScope()


class AdminServer:
    MOST = 24  # callers at once: staff and their scripts are few; what is silent beyond that gives way
    DESCRIPTORS = MOST + 2  # with the listener, and the one that comes while another gives way
    WHOLE = 2.0  # seconds for a call to come whole: a line or two over any network
    TAKEN = 1.0  # seconds for its answer to be taken

    def __init__(
        self,
        act: Callable[[AdminRequest], AdminResponse],
        tasks: Tasks,
        log: Any,
        further: Mapping[str, bytes] = NOTHING,
        most: int = MAX_BODY_BYTES,
    ) -> None:
        """`act` carries a call out at once and must not wait; `further`: methods of more calls, by path.

        `most`: bytes of a call's body.
        """
        self.further, self.most = further, most
        self.act, self.tasks, self.log = act, tasks, log
        self.callers: dict[Caller, None] = {}  # the oldest first

    async def run(self, listener: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                raw, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                self.log.warning("a caller could not be accepted", error=repr(error))
                await anyio.sleep(0.05)
                continue
            raw.setblocking(False)
            if len(self.callers) >= self.MOST:
                self._make_room()
            caller = Caller(raw, self.further, self.most)
            self.callers[caller] = None
            # Its first bytes are mostly there: a node short of its core answers without another turn.
            self.tasks.start("a caller", self._serve, caller)

    def _make_room(self) -> None:
        """The oldest that said nothing goes, else the oldest.

        Guards against silent callers that fill all places.
        """
        oldest = next((each for each in self.callers if not each.reader.begun), next(iter(self.callers)))
        del self.callers[oldest]
        oldest.scope.cancel()

    async def _serve(self, caller: Caller) -> None:
        try:
            with caller.scope:
                verdict = await self._call(caller)
                with anyio.move_on_after(self.TAKEN):
                    await self._send(caller.raw, caller.reader.encode(verdict))
                    caller.raw.shutdown(socket.SHUT_WR)
                    # Guards against a reset that overtakes the answer where more came than was read.
                    while await self._receive(caller.raw):
                        pass
        except OSError:
            pass  # the caller is gone
        finally:
            self.callers.pop(caller, None)
            caller.raw.close()

    async def _call(self, caller: Caller) -> AdminResponse:
        told: AdminRequest | AdminResponse | None = None
        with anyio.move_on_after(self.WHOLE):
            while told is None:
                told = caller.reader.take(await self._receive(caller.raw))
                if told is None and (more := caller.reader.wants_more()):
                    await self._send(caller.raw, more)
        if told is None:
            return error_response(408, "it did not come whole")
        if isinstance(told, AdminResponse):
            return told
        try:
            return self.act(told)
        except Exception:
            self.log.exception("a call could not be carried out", call=told.endpoint.value)
            return error_response(500, "it could not be carried out")

    async def _receive(self, raw: socket.socket) -> bytes:
        while True:
            try:
                return raw.recv(4096)
            except (BlockingIOError, InterruptedError):
                await anyio.wait_readable(raw)

    async def _send(self, raw: socket.socket, data: bytes) -> None:
        while data:
            try:
                data = data[raw.send(data) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(raw)
