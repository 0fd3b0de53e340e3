"""`python -m thornladder.adapter`: answers the simulator's batches of events.

Reads JSON lines from standard input. SYNC sets the time and opens a batch; FLUSH closes it, and the reply
is written to standard output with NEXT as its last line.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from thornladder import decide, settings
from thornladder.adapter import wire
from thornladder.fields import MalformedError, get_choice, get_field, get_seconds, parse_object

Message = dict[str, Any]


class InstanceHost:
    """Host of one instance: appends each call of the decision module to the reply as a JSON line."""

    def __init__(self, name: str, reply: list[str]) -> None:
        self.name_field = f',"I":{json.dumps(name)}'
        self.reply = reply

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.reply.append(
            f'{{"kind":"HAND_OFF"{self.name_field},"Id":"{invocation}","GiveUpAfter":{wire.to_micros(timeout)},'
            f'"Backend":{json.dumps(backend)}}}'
        )

    def cancel(self, invocation: str, number: int) -> None:
        self.reply.append(f'{{"kind":"STOP_ATTEMPT"{self.name_field},"Id":"{invocation}","Try":{number}}}')

    def nack(self, invocation: str, retry_after: float) -> None:
        self.reply.append(
            f'{{"kind":"DECLINE"{self.name_field},"Id":"{invocation}","CoolDown":{wire.to_micros(retry_after)}}}'
        )

    def terminate(self, invocation: str) -> None:
        self.reply.append(f'{{"kind":"FINISH_ERROR"{self.name_field},"Id":"{invocation}"}}')

    def probe(self, backend: str) -> None:
        self.reply.append(f'{{"kind":"PING"{self.name_field},"Backend":{json.dumps(backend)}}}')

    def set_timer(self, delay: float, name: str) -> None:
        self.reply.append(
            f'{{"kind":"SCHEDULE"{self.name_field},"Span":{wire.to_micros(delay)},"Nonce":{json.dumps(name)}}}'
        )

    def watch_list(self) -> None:
        self.reply.append(f'{{"kind":"OBSERVE"{self.name_field},"Want":true}}')

    def log(self, message: str) -> None:
        self.reply.append(f'{{"kind":"PRINT"{self.name_field},"Words":{json.dumps(message)}}}')


class Adapter:
    """Hosts any number of instances, which share only the clock and the buffered reply."""

    def __init__(self) -> None:
        self.nodes: dict[str, decide.Node] = {}
        self.now = 0.0
        self.reply: list[str] = []
        self.handlers: dict[str, Callable[[decide.Node, Message], None]] = {
            "SUBMIT": self._on_submit,
            "ENDED": self._on_push_ended,
            "BELL": self._on_timer,
            "DROPPED": self._on_client_gone,
            "ENDPOINTS": self._on_list,
            "ECHO": self._on_probe_ended,
            "HEAD_RECEIVED": self._on_response_started,
            "MAIL": self._on_mail,
        }

    def handle(self, message: Message) -> None:
        """Handles one event. An exception in the decision module is reported to the simulator as BROKEN.

        Raises MalformedError for an event that cannot be decoded.
        """
        kind = get_field(message, "kind", str)
        name = get_field(message, "I", str)
        broken_prefix = f'{{"kind":"BROKEN","I":{json.dumps(name)},"Words":'
        if kind == "CREATE":
            seed = get_field(message, "Nonce64", int)
            policy = settings.policy_arguments(get_field(message, "Info", dict))
            try:
                host = InstanceHost(name, self.reply)
                self.nodes[name] = decide.Node(host, seed=seed, now=self.now, **policy)
            except Exception as error:
                self.reply.append(f"{broken_prefix}{json.dumps(repr(error))}}}")
        elif kind == "HALT":
            self.nodes.pop(name, None)
        else:
            handler = self.handlers.get(kind)
            if handler is None:
                raise MalformedError(f"kind has the unknown value {kind!r}")
            node = self.nodes.get(name)
            if node is None:
                raise MalformedError(f"{kind} for {name!r}, which was not created")
            try:
                handler(node, message)
            except MalformedError:
                raise
            except Exception as error:
                self.reply.append(f"{broken_prefix}{json.dumps(repr(error))}}}")

    def _on_submit(self, node: decide.Node, message: Message) -> None:
        invocation = wire.parse_invocation(message)
        if invocation.offering not in node.offerings:
            raise MalformedError(f"Qos has the unknown value {invocation.offering!r}")
        node.on_invocation(self.now, invocation)

    def _on_push_ended(self, node: decide.Node, message: Message) -> None:
        node.on_push_ended(
            self.now,
            get_field(message, "Id", str),
            get_field(message, "Try", int, 0),
            get_choice(wire.OUTCOMES, message, "Reason"),
            get_seconds(message, "TimeTaken", 0.0),
            bool(message.get("Last")),
            settings.parse_load_report(message.get("Report")),
        )

    def _on_timer(self, node: decide.Node, message: Message) -> None:
        node.on_timer(self.now, get_field(message, "Nonce", str))

    def _on_client_gone(self, node: decide.Node, message: Message) -> None:
        node.on_client_gone(self.now, get_field(message, "Id", str))

    def _on_list(self, node: decide.Node, message: Message) -> None:
        node.on_list(self.now, get_choice(wire.LIST_KINDS, message, "Scope"), wire.parse_entries(message))

    def _on_probe_ended(self, node: decide.Node, message: Message) -> None:
        outcome = get_choice(wire.OUTCOMES, message, "Reason")
        report = settings.parse_load_report(message.get("Report"))
        node.on_probe_ended(self.now, get_field(message, "Backend", str), outcome, report)

    def _on_response_started(self, node: decide.Node, message: Message) -> None:
        node.on_answer_started(self.now, get_field(message, "Id", str), get_field(message, "Try", int, 0))

    def _on_mail(self, node: decide.Node, message: Message) -> None:
        """Ignores the message: instances do not communicate with each other."""


def run(source: TextIO, sink: TextIO) -> None:
    """Processes batches until the end of `source`. Raises MalformedError on malformed input."""
    adapter = Adapter()
    in_batch = False
    for line in source:
        if not line.strip():
            continue
        message = parse_object(line)
        kind = message.get("kind")
        if kind == "SYNC":
            if in_batch:
                raise MalformedError("SYNC inside a batch")
            in_batch = True
            now = get_seconds(message, "Time")
            if now < adapter.now:
                raise MalformedError("Time runs backwards")
            adapter.now = now
        elif not in_batch:
            raise MalformedError(f"{kind!r} outside a batch")
        elif kind == "FLUSH":
            in_batch = False
            adapter.reply.append('{"kind":"NEXT"}\n')
            sink.write("\n".join(adapter.reply))
            sink.flush()
            adapter.reply.clear()
        else:
            adapter.handle(message)
    if in_batch:
        raise MalformedError("the input ends inside a batch")


def main() -> int:
    """Returns the exit code: 0 at the end of input, 1 for a closed output pipe, 2 for malformed input."""
    sys.stdin.reconfigure(encoding="utf-8")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        run(sys.stdin, sys.stdout)
    except (MalformedError, UnicodeDecodeError) as error:
        print(f"thornladder: malformed input: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
