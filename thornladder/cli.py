"""The command line. Exit codes: 0 done, 1 it did not hold or could not be done, 2 bad words or a bad file."""

from __future__ import annotations

import json
import os
import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from thornladder.fields import Malformed

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__, pretty_exceptions_enable=False)
rig = typer.Typer(no_args_is_help=True, help="A fleet on this machine: nodes, backends, clients, and faults.")
app.add_typer(rig, name="rig")


def refuse(words: str, code: int = 2) -> NoReturn:
    print(f"thornladder: {words}", file=sys.stderr)
    raise typer.Exit(code)


@app.command()
def node(
    config: Annotated[str, typer.Option(envvar="EDGE_CONFIG", help="The node's own file, JSON.")] = "",
    fleet: Annotated[str, typer.Option(help="A fleet's file, TOML: take part in its membership.")] = "",
) -> None:
    """Run one node in the foreground until SIGTERM; without --fleet as `python -m thornladder` does."""
    from thornladder.__main__ import main

    companions = []
    if fleet:
        from thornladder.membership.companion import Membership
        from thornladder.membership.config import load

        try:
            companions.append(Membership(load(fleet)))
        except Malformed as error:
            refuse(f"{fleet}: {error}")
    if config:
        os.environ["EDGE_CONFIG"] = config
    raise typer.Exit(main(companions))


def fetch(address: str, path: str, patience: float = 3.0) -> dict[str, Any]:
    """A node's answer at its second address. Raises OSError, or ValueError where it is none."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=patience) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        raise OSError(f"{error.code}: {error.read(200).decode('utf-8', 'replace').strip()}") from None


@app.command()
def members(
    address: Annotated[str, typer.Argument(help="The second address of a node, HOST:PORT.")],
    as_json: Annotated[bool, typer.Option("--json", help="As the node tells it.")] = False,
) -> None:
    """Print who is in the fleet, as one node sees it. Exit code 1 where that node cannot tell."""
    try:
        told = fetch(address, "/members")
    except (OSError, ValueError) as error:
        refuse(f"{address}: {error}", 1)
    if as_json:
        print(json.dumps(told))
        return
    print(f"{told['name']} in fleet {told['fleet']}: counts {told['nodes']} nodes"
          + (", answered by nobody: it may itself be cut off" if told["alone"] else ""))  # fmt: skip
    for line in told["members"]:
        by = f" by {', '.join(line['by'])}" if line["by"] else ""
        print(f"  {line['name']:12} {line['state']:13} {line['since']:8.1f} s{by}  [{line['way']}]")


@rig.command("run")
def rig_run(
    file: Annotated[Path, typer.Argument(help="Fleet, load, faults and what must hold, TOML.")],
    result: Annotated[Path | None, typer.Option(help="Where what happened goes, JSON.")] = None,
    seed: Annotated[int, typer.Option(help="Of all that is drawn.")] = 1,
    quiet: Annotated[bool, typer.Option("--quiet", help="No progress.")] = False,
) -> None:
    """Play a file. Exit code 1 where something did not hold, 2 where the file is bad."""
    from thornladder.rig import play, summary

    try:
        plan = play.load(file)
    except Malformed as error:
        refuse(f"{file}: {error}")
    try:
        told = play.run(plan, seed, progress=None if quiet else lambda words: print(words, file=sys.stderr))
    except play.PlayFailed as error:
        refuse(str(error), 1)
    if result is not None:
        result.write_text(json.dumps(told))
    print(summary.text(told))
    raise typer.Exit(0 if told["holds"] else 1)


@rig.command("show")
def rig_show(file: Annotated[Path, typer.Argument(help="What `rig run --result` wrote.")]) -> None:
    """Print the summary of a play again."""
    from thornladder.rig import summary

    try:
        told = json.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        refuse(f"{file}: {error}")
    print(summary.text(told))


if __name__ == "__main__":
    app()
