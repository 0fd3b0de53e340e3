"""`python -m thornladder.adapter`: reads batches from standard input and answers each on standard output."""

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
    """Carries out one instance's calls by writing lines of the reply."""

    def __init__(self, name: str, reply: list[str]) -> None:
        self.tag = f',"I":{json.dumps(name)}'
        self.reply = reply

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.reply.append(
            f'{{"kind":"HAND_OFF"{self.tag},"Id":"{invocation}","GiveUpAfter":{wire.micros(timeout)},'
            f'"Backend":{json.dumps(backend)}}}'
        )

    def cancel(self, invocation: str, number: int) -> None:
        self.reply.append(f'{{"kind":"STOP_ATTEMPT"{self.tag},"Id":"{invocation}","Try":{number}}}')

    def nack(self, invocation: str, retry_after: float) -> None:
        self.reply.append(
            f'{{"kind":"DECLINE"{self.tag},"Id":"{invocation}","CoolDown":{wire.micros(retry_after)}}}'
        )

    def terminate(self, invocation: str) -> None:
        self.reply.append(f'{{"kind":"FINISH_ERROR"{self.tag},"Id":"{invocation}"}}')

    def probe(self, backend: str) -> None:
        self.reply.append(f'{{"kind":"PING"{self.tag},"Backend":{json.dumps(backend)}}}')

    def set_timer(self, delay: float, name: str) -> None:
        self.reply.append(
            f'{{"kind":"SCHEDULE"{self.tag},"Span":{wire.micros(delay)},"Nonce":{json.dumps(name)}}}'
        )

    def watch_list(self) -> None:
        self.reply.append(f'{{"kind":"OBSERVE"{self.tag},"Want":true}}')

    def log(self, words: str) -> None:
        self.reply.append(f'{{"kind":"PRINT"{self.tag},"Words":{json.dumps(words)}}}')


class Adapter:
    """Hosts any number of instances; they share nothing but the reply being written."""

    def __init__(self) -> None:
        self.nodes: dict[str, decide.Node] = {}
        self.now = 0.0
        self.reply: list[str] = []
        self.actions: dict[str, Callable[[decide.Node, Message], None]] = {
            "SUBMIT": self._submit,
            "ENDED": self._ended,
            "BELL": self._bell,
            "DROPPED": self._dropped,
            "ENDPOINTS": self._endpoints,
            "ECHO": self._echo,
            "HEAD_RECEIVED": self._head_received,
            "MAIL": self._mail,
        }

    def feed(self, message: Message) -> None:
        """One event. An exception of the module ends the day as broken, with its text."""
        kind = get_field(message, "kind", str)
        name = get_field(message, "I", str)
        broken = f'{{"kind":"BROKEN","I":{json.dumps(name)},"Words":'
        if kind == "CREATE":
            seed = get_field(message, "Nonce64", int)
            given = settings.policy_arguments(get_field(message, "Info", dict))
            try:
                host = InstanceHost(name, self.reply)
                self.nodes[name] = decide.Node(host, seed=seed, now=self.now, **given)
            except Exception as error:
                self.reply.append(f"{broken}{json.dumps(repr(error))}}}")
        elif kind == "HALT":
            self.nodes.pop(name, None)
        else:
            handler = self.actions.get(kind)
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
                self.reply.append(f"{broken}{json.dumps(repr(error))}}}")

    def _submit(self, node: decide.Node, message: Message) -> None:
        invocation = wire.invocation(message)
        if invocation.offering not in node.offerings:
            raise MalformedError(f"Qos has the unknown value {invocation.offering!r}")
        node.on_invocation(self.now, invocation)

    def _ended(self, node: decide.Node, message: Message) -> None:
        node.on_push_ended(
            self.now,
            get_field(message, "Id", str),
            get_field(message, "Try", int, 0),
            get_choice(wire.OUTCOMES, message, "Reason"),
            get_seconds(message, "TimeTaken", 0.0),
            bool(message.get("Last")),
            settings.parse_load_report(message.get("Report")),
        )

    def _bell(self, node: decide.Node, message: Message) -> None:
        node.on_timer(self.now, get_field(message, "Nonce", str))

    def _dropped(self, node: decide.Node, message: Message) -> None:
        node.on_client_gone(self.now, get_field(message, "Id", str))

    def _endpoints(self, node: decide.Node, message: Message) -> None:
        node.on_list(self.now, get_choice(wire.SCOPES, message, "Scope"), wire.entries(message))

    def _echo(self, node: decide.Node, message: Message) -> None:
        outcome = get_choice(wire.OUTCOMES, message, "Reason")
        report = settings.parse_load_report(message.get("Report"))
        node.on_probe_ended(self.now, get_field(message, "Backend", str), outcome, report)

    def _head_received(self, node: decide.Node, message: Message) -> None:
        node.on_answer_started(self.now, get_field(message, "Id", str), get_field(message, "Try", int, 0))

    def _mail(self, node: decide.Node, message: Message) -> None:
        """Nodes share nothing: a message from another node is read and left."""


def run(source: TextIO, sink: TextIO) -> None:
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
            adapter.feed(message)
    if in_batch:
        raise MalformedError("the input ends inside a batch")


def main() -> int:
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
