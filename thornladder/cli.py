"""The command line. Exit codes: 0 done, 1 it did not hold or could not be done, 2 bad words or a bad file."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from thornladder.asking import fetch
from thornladder.fields import MalformedError

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__, pretty_exceptions_enable=False)
rig = typer.Typer(no_args_is_help=True, help="A fleet on this machine: nodes, backends, clients, and faults.")
app.add_typer(rig, name="rig")
rollout = typer.Typer(no_args_is_help=True, help="A change of program or settings over a fleet, in stages.")
app.add_typer(rollout, name="rollout")


def refuse(words: str, code: int = 2) -> NoReturn:
    print(f"thornladder: {words}", file=sys.stderr)
    raise typer.Exit(code)


@app.command()
def node(
    config: Annotated[str, typer.Option(envvar="EDGE_CONFIG", help="The node's own file, JSON.")] = "",
    fleet: Annotated[str, typer.Option(help="A fleet's file, TOML: take part in its membership.")] = "",
    counters: Annotated[bool, typer.Option("--counters", help="Count, and answer /counters.")] = False,
) -> None:
    """Run one node in the foreground until SIGTERM; without options as `python -m thornladder` does."""
    from thornladder.__main__ import main

    extensions: list[Any] = []
    if counters:
        from thornladder.rollout.counters import Counters

        extensions.append(Counters())
    if fleet:
        from thornladder.membership.companion import Membership
        from thornladder.membership.config import load

        try:
            extensions.append(Membership(load(fleet)))
        except MalformedError as error:
            refuse(f"{fleet}: {error}")
    if config:
        os.environ["EDGE_CONFIG"] = config
    raise typer.Exit(main(extensions))


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


@app.command()
def speaks() -> None:
    """Print the versions of what this program says to others, for a change's file."""
    from thornladder.rollout.counters import PROTOCOL_VERSIONS

    print(
        "speaks = { " + ", ".join(f"{what} = {version}" for what, version in PROTOCOL_VERSIONS.items()) + " }"
    )


@app.command()
def keep(file: Annotated[Path, typer.Argument(help="The keeper's file, TOML.")]) -> None:
    """Keep one node running what the newest order says, until SIGTERM."""
    import anyio
    import structlog

    from thornladder.__main__ import configure_json_logging
    from thornladder.rollout import keeper

    try:
        config = keeper.load(file)
    except MalformedError as error:
        refuse(f"{file}: {error}")
    configure_json_logging()
    try:
        anyio.run(keeper.Keeper(config, structlog.get_logger()).run, backend_options={"use_uvloop": True})
    except OSError as error:
        refuse(str(error), 1)


FileOfChange = Annotated[Path, typer.Argument(help="The change's file, TOML; its log lies beside it.")]


def _change(file: Path) -> Any:
    from thornladder.rollout import plan

    try:
        return plan.load(file)
    except MalformedError as error:
        refuse(f"{file}: {error}")


def _log(file: Path) -> Any:
    from thornladder.rollout import driver, store

    try:
        return store.Store(driver.log_path(file))
    except MalformedError as error:
        refuse(f"{driver.log_path(file)}: {error}")


@rollout.command("plan")
def rollout_plan(file: FileOfChange) -> None:
    """Check a change's file and print its stages."""
    change = _change(file)
    order, done = change.rollout_order(), 0
    print(f"{change.change.name}: {len(order)} nodes")
    for number, size in enumerate(change.stage_sizes(), 1):
        names = ", ".join(order[done:size]) or "nothing new"
        print(f"  stage {number}: {names}, {change.watch:g} s at least")
        done = size
    if change.members:
        _agree(file, change)


def _agree(file: Path, change: Any) -> None:
    try:
        told = fetch(change.members, "/members")
    except (OSError, ValueError) as error:
        refuse(f"{file}: members: {change.members} cannot be asked: {error}", 1)
    there = {told["name"], *(each["name"] for each in told["members"] if each["state"] != "left")}
    if differ := sorted(there ^ set(change.nodes)):
        refuse(f"{file}: nodes: the list and membership differ by {', '.join(differ[:10])}")


@rollout.command("start")
def rollout_start(file: FileOfChange) -> None:
    """Drive a change, or go on with one whose driver died. Exit code 0 done, 1 stopped, undone, overtaken."""
    import anyio

    from thornladder.rollout import driver

    change = _change(file)
    if change.members:
        _agree(file, change)
    store = _log(file)
    try:
        run = driver.Run(change, store, lambda words: print(words, file=sys.stderr, flush=True))
    except MalformedError as error:
        refuse(f"{file}: {error}")
    phase = anyio.run(run.run)
    why = f", {run.driver.message}" if run.driver.message != phase.value else ""
    print(f"{change.change.name}: {phase.value}{why}")
    raise typer.Exit(0 if phase is driver.Phase.DONE else 1)


@rollout.command("status")
def rollout_status(file: FileOfChange) -> None:
    """Print what was meant and done, and what each node runs."""
    import anyio

    from thornladder.rollout import driver

    change, store = _change(file), _log(file)
    try:
        run = driver.Run(change, store, print)
        print(driver.status(store, anyio.run(run.poll_keepers)))
    except MalformedError as error:
        refuse(f"{file}: {error}")


def _wish(word: str, help: str) -> None:
    def command(file: FileOfChange) -> None:
        _change(file)
        _log(file).add_request(word)

    command.__doc__ = help
    rollout.command(word)(command)


_wish("pause", "The driver that runs goes no further until `go-on`; nodes serve on with what they have.")
_wish("go-on", "After a pause or a hold; where no driver runs, `start` goes on from here.")
_wish("stop", "Stop the change: what its plan says at a stop is done.")
_wish("undo", "Undo the change in stages; where no driver runs, `start` does it.")


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
        plan = play.load_scenario(file)
    except MalformedError as error:
        refuse(f"{file}: {error}")
    try:
        told = play.run_scenario(
            plan, seed, progress=None if quiet else lambda words: print(words, file=sys.stderr)
        )
    except play.ScenarioError as error:
        refuse(str(error), 1)
    if result is not None:
        result.write_text(json.dumps(told))
    print(summary.format_summary(told))
    raise typer.Exit(0 if told["holds"] else 1)


@rig.command("show")
def rig_show(file: Annotated[Path, typer.Argument(help="What `rig run --result` wrote.")]) -> None:
    """Print the summary of a play again."""
    from thornladder.rig import summary

    try:
        told = json.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        refuse(f"{file}: {error}")
    print(summary.format_summary(told))


if __name__ == "__main__":
    app()
