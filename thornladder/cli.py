"""Command line of thornladder.

Exit codes: 0 success, 1 a check failed or the command could not be carried out, 2 bad arguments or files.
"""

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
rig_app = typer.Typer(
    no_args_is_help=True, help="Run a test fleet on this machine: nodes, backends, clients, faults."
)
app.add_typer(rig_app, name="rig")
rollout_app = typer.Typer(
    no_args_is_help=True, help="Roll out a new program or new settings over a fleet, in stages."
)
app.add_typer(rollout_app, name="rollout")


def exit_with_error(message: str, code: int = 2) -> NoReturn:
    """Print the error message on one line of standard error and exit with `code`."""
    print(f"thornladder: {message}", file=sys.stderr)
    raise typer.Exit(code)


@app.command()
def node(
    config: Annotated[str, typer.Option(envvar="EDGE_CONFIG", help="The node's settings file, JSON.")] = "",
    fleet: Annotated[str, typer.Option(help="The fleet's membership file, TOML; joins the fleet.")] = "",
    counters: Annotated[
        bool, typer.Option("--counters", help="Count invocations and serve /counters.")
    ] = False,
) -> None:
    """Run one node in the foreground until SIGTERM. Without options this equals `python -m thornladder`."""
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
            exit_with_error(f"{fleet}: {error}")
    if config:
        os.environ["EDGE_CONFIG"] = config
    raise typer.Exit(main(extensions))


@app.command()
def members(
    address: Annotated[str, typer.Argument(help="The admin address of a node, HOST:PORT.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print the node's answer as JSON.")] = False,
) -> None:
    """Print the members of the fleet as one node sees them. Exit code 1 if its answer is unusable."""
    try:
        view = fetch(address, "/members")
    except (OSError, ValueError) as error:
        exit_with_error(f"{address}: {error}", 1)
    if as_json:
        print(json.dumps(view))
        return
    print(f"{view['name']} in fleet {view['fleet']}: counts {view['nodes']} nodes"
          + ("; no member answers it, it may itself be cut off" if view["alone"] else ""))  # fmt: skip
    for entry in view["members"]:
        witnesses = f" by {', '.join(entry['by'])}" if entry["by"] else ""
        print(
            f"  {entry['name']:12} {entry['state']:13} {entry['since']:8.1f} s{witnesses}  [{entry['way']}]"
        )


@app.command()
def speaks() -> None:
    """Print the versions of the protocols that this program speaks, as a line for a rollout plan."""
    from thornladder.rollout.counters import PROTOCOL_VERSIONS

    print(
        "speaks = { "
        + ", ".join(f"{protocol} = {version}" for protocol, version in PROTOCOL_VERSIONS.items())
        + " }"
    )


@app.command()
def keep(file: Annotated[Path, typer.Argument(help="The keeper's configuration file, TOML.")]) -> None:
    """Supervise one node until SIGTERM, so that it runs what its newest order assigns."""
    import anyio
    import structlog

    from thornladder.__main__ import configure_json_logging
    from thornladder.rollout import keeper

    try:
        config = keeper.load(file)
    except MalformedError as error:
        exit_with_error(f"{file}: {error}")
    configure_json_logging()
    try:
        anyio.run(keeper.Keeper(config, structlog.get_logger()).run, backend_options={"use_uvloop": True})
    except OSError as error:
        exit_with_error(str(error), 1)


PlanFile = Annotated[Path, typer.Argument(help="The rollout plan, TOML; its log is kept beside it.")]


def _load_plan(file: Path) -> Any:
    """Load the rollout plan, or exit with code 2 if it is malformed."""
    from thornladder.rollout import plan

    try:
        return plan.load(file)
    except MalformedError as error:
        exit_with_error(f"{file}: {error}")


def _open_store(file: Path) -> Any:
    """Open the log beside the plan, or exit with code 2 if it is malformed."""
    from thornladder.rollout import driver, store

    try:
        return store.Store(driver.log_path(file))
    except MalformedError as error:
        exit_with_error(f"{driver.log_path(file)}: {error}")


@rollout_app.command("plan")
def rollout_plan(file: PlanFile) -> None:
    """Check a rollout plan and print its stages."""
    plan = _load_plan(file)
    order, covered = plan.rollout_order(), 0
    print(f"{plan.change.name}: {len(order)} nodes")
    for number, size in enumerate(plan.stage_sizes(), 1):
        names = ", ".join(order[covered:size]) or "no further node"
        print(f"  stage {number}: {names}, {plan.watch:g} s at least")
        covered = size
    if plan.members:
        _check_nodes_match_membership(file, plan)


def _check_nodes_match_membership(file: Path, plan: Any) -> None:
    """Exit with an error unless the nodes of the plan are the members that have not left the fleet."""
    try:
        view = fetch(plan.members, "/members")
    except (OSError, ValueError) as error:
        exit_with_error(f"{file}: members: {plan.members} gave no usable answer: {error}", 1)
    present = {view["name"], *(member["name"] for member in view["members"] if member["state"] != "left")}
    if differing := sorted(present ^ set(plan.nodes)):
        exit_with_error(f"{file}: nodes: plan and membership differ in {', '.join(differing[:10])}")


@rollout_app.command("start")
def rollout_start(file: PlanFile) -> None:
    """Drive a rollout, or resume one whose driver died. Exit code 0 done, 1 stopped, undone or overtaken."""
    import anyio

    from thornladder.rollout import driver

    plan = _load_plan(file)
    if plan.members:
        _check_nodes_match_membership(file, plan)
    store = _open_store(file)
    try:
        run = driver.Run(plan, store, lambda message: print(message, file=sys.stderr, flush=True))
    except MalformedError as error:
        exit_with_error(f"{file}: {error}")
    phase = anyio.run(run.run)
    reason = f", {run.driver.message}" if run.driver.message != phase.value else ""
    print(f"{plan.change.name}: {phase.value}{reason}")
    raise typer.Exit(0 if phase is driver.Phase.DONE else 1)


@rollout_app.command("status")
def rollout_status(file: PlanFile) -> None:
    """Print the recorded progress of a rollout and what each node runs."""
    import anyio

    from thornladder.rollout import driver

    plan, store = _load_plan(file), _open_store(file)
    try:
        run = driver.Run(plan, store, print)
        print(driver.status(store, anyio.run(run.poll_keepers)))
    except MalformedError as error:
        exit_with_error(f"{file}: {error}")


def _add_request_command(request: str, help_text: str) -> None:
    """Register a command that adds `request` to the log, where the driver finds it."""

    def command(file: PlanFile) -> None:
        _load_plan(file)
        _open_store(file).add_request(request)

    command.__doc__ = help_text
    rollout_app.command(request)(command)


_add_request_command(
    "pause", "Pause the running driver until `go-on`; nodes keep what they run and serve on."
)
_add_request_command("go-on", "Resume after a pause or a hold; if no driver runs, `start` resumes from here.")
_add_request_command("stop", "Stop the rollout and take the action that its plan sets for a stop.")
_add_request_command("undo", "Roll back in stages; if no driver runs, `start` does it.")


@rig_app.command("run")
def rig_run(
    file: Annotated[Path, typer.Argument(help="Scenario: fleet, load, faults and checks, TOML.")],
    result: Annotated[Path | None, typer.Option(help="File for the result, JSON.")] = None,
    seed: Annotated[int, typer.Option(help="Seed of the random generators.")] = 1,
    quiet: Annotated[bool, typer.Option("--quiet", help="Print no progress.")] = False,
) -> None:
    """Run a scenario. Exit code 1 if a check failed, 2 if the file is bad."""
    from thornladder.rig import play, summary

    try:
        scenario = play.load_scenario(file)
    except MalformedError as error:
        exit_with_error(f"{file}: {error}")
    try:
        outcome = play.run_scenario(
            scenario, seed, progress=None if quiet else lambda message: print(message, file=sys.stderr)
        )
    except play.ScenarioError as error:
        exit_with_error(str(error), 1)
    if result is not None:
        result.write_text(json.dumps(outcome))
    print(summary.format_summary(outcome))
    raise typer.Exit(0 if outcome["holds"] else 1)


@rig_app.command("show")
def rig_show(
    file: Annotated[Path, typer.Argument(help="A result file written by `rig run --result`.")],
) -> None:
    """Print the summary of an earlier run."""
    from thornladder.rig import summary

    try:
        outcome = json.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        exit_with_error(f"{file}: {error}")
    print(summary.format_summary(outcome))


if __name__ == "__main__":
    app()
