"""Fleets of node processes under faults, and what a node without a fleet file must not load or open.

The checks depend on the order and number of events and the waits on conditions, not on times, so that a
machine ten times slower gives the same results.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import anyio
import pytest
from harness import FakeServer, reply
from test_process import running_node

from thornladder.fields import MalformedError
from thornladder.membership.companion import MemberLock
from thornladder.membership.config import load as load_fleet
from thornladder.membership.core import Core
from thornladder.membership.count import FleetSize
from thornladder.membership.wire import Item, State
from thornladder.rig import play, summary
from thornladder.rig.faults import Fault
from thornladder.rig.play import Expectations, Load, Scenario


def test_fleet_with_a_killed_and_a_paused_node_and_a_link_cut_one_way() -> None:
    scenario = Scenario(
        seconds=20.0, load=Load(rate=20.0),
        faults=[Fault(kind="kill", at=1, nodes=("n01",)), Fault(kind="pause", at=5, lasts=3, nodes=("n02",)),
                Fault(kind="start", at=12, nodes=("n01",)),
                Fault(kind="cut", at=1, lasts=16, source=("n00",), target=("n03",))],
        holds=Expectations(removed=["n01"], one_view_after=60.0),
    )  # fmt: skip
    result = play.run_scenario(scenario, 1)
    assert result["holds"], summary.format_summary(result)
    # Each other node removed the killed one once, after reports of two witnesses, and added it again once.
    for name in ("n00", "n02", "n03"):
        history = [(change["state"], len(change["witnesses"]) >= 2) for change in result["changes"]
                   if (change["by"], change["of"], change["view"]) == (name, "n01", True)]  # fmt: skip
        assert history == [("ended", True), ("alive", False)], name
    histories = result["views"]["n00"]["n03"] + result["views"]["n03"]["n00"]
    assert any(way.startswith("one-sided") for _, _, way in histories)
    # After its pause n02 did not report any of the living nodes, though it had heard none of them meanwhile.
    assert not [
        change for change in result["changes"] if change["of"] != "n01" and "n02" in change["witnesses"]
    ]
    assert result["answers"]["completed"] > 0


def test_node_count_that_is_lowered_without_delay_is_detected() -> None:
    # Both halves of the fleet remove the other one. With a hold of 0 they also stop counting it at once.
    cut = Fault(kind="cut", at=0, lasts=23, source=("n00", "n01"), target=("n02", "n03"), both=True)
    for hold, detected in ((0.0, True), (300.0, False)):
        result = play.run_scenario(
            Scenario(seconds=24.0, hold=hold, lower_after=hold, load=Load(rate=0), faults=[cut]), 1
        )
        assert any(change["view"] and change["state"] == "lost" for change in result["changes"])
        assert result["holds"] is not detected, summary.format_summary(result)


def test_command_line_runs_a_scenario_file_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    def run_cli(*arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "thornladder.cli", *arguments]
        return subprocess.run(command, capture_output=True, text=True)

    file = tmp_path / "scenario.toml"
    file.write_text("seconds = 2\nnodes = 2\n[load]\nrate = 10\n[holds]\none_view_after = 60\n")
    completed = run_cli("rig", "run", str(file), "--result", str(tmp_path / "result.json"))
    assert completed.returncode == 0 and "checks:" in completed.stdout and "utility" in completed.stderr, (
        completed.stderr
    )
    assert run_cli("rig", "show", str(tmp_path / "result.json")).stdout == completed.stdout
    expected_errors = {"seconds = 2\nnoddes = 2": "noddes", "seconds = 0": "seconds",
                       "nodes = 2": "seconds",
                       "seconds = 2\n[[faults]]\nkind = 'kill'\nat = 1\nnodes = ['x']":
                           "faults[0]"}  # fmt: skip
    for text, expected in expected_errors.items():
        file.write_text(text)
        completed = run_cli("rig", "run", str(file))
        assert (
            completed.returncode == 2 and completed.stderr.count("\n") == 1 and expected in completed.stderr
        )
    assert run_cli("members", "127.0.0.1:1").returncode == 1


@pytest.mark.parametrize(
    "text", ["", "fleet = 'f'\nlisten = 'here'", "fleet = 'f'\nlisten = 'a:1'\nsede = 1",
             "fleet = 'f'\nlisten='a:1'\nhold=-1", "fleet = 'f'\nlisten = 'a:1'\nseeds = ['a']"],
)  # fmt: skip
def test_invalid_fleet_file_gives_a_one_line_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(MalformedError) as error:
        load_fleet(str(path))
    assert "\n" not in str(error.value)


def test_node_count_is_raised_at_once_and_lowered_after_a_delay() -> None:
    from random import Random

    core = Core("a", "10.0.0.1:1", "f", [], Random(1), 0.0)
    fleet_size = FleetSize(configured=4, hold=30.0, lower_after=5.0)
    assert fleet_size.update(core) == 4  # without members, as configured
    core.bootstrap([Item(f"m{k}", 1, k, 0, State.ALIVE, f"10.0.1.{k}:1") for k in range(7)])
    assert fleet_size.update(core) == 8
    core.bootstrap([Item("m1", 1, 1, 0, State.ENDED), Item("m2", 1, 2, 0, State.LEFT)])
    core.bootstrap([Item("m3", 2, 3, 0, State.LOST)])
    for at, nodes in ((0.0, 8), (4.9, 8), (5.1, 6), (29.0, 6), (31.0, 6), (36.1, 5)):
        core.now = core.last_reply_at = at
        assert fleet_size.update(core) == nodes, at
    core.bootstrap([Item("m9", 1, 9, 0, State.ALIVE)])
    assert fleet_size.update(core) == 6


@pytest.mark.anyio
async def test_node_without_a_fleet_file_loads_and_opens_nothing_for_one(tmp_path: Path) -> None:
    program = ("import sys, thornladder.__main__; print([m for m in sys.modules if m.split('.')[0] in "
               "('msgspec', 'typer') or m.startswith(('thornladder.membership', "
               "'thornladder.rig', 'thornladder.cli', 'thornladder.measures'))])")  # fmt: skip
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert completed.stdout == "[]\n"
    async with running_node(tmp_path, FakeServer(lambda _: reply(200))) as (process, port):
        await anyio.sleep(0.3)
        links = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
        socket_inodes = {link[8:-1] for link in links if link.startswith("socket:")}
        udp_inodes = {
            line.split()[9] for line in Path(f"/proc/{process.pid}/net/udp").read_text().splitlines()[1:]
        }
        assert socket_inodes and not socket_inodes & udp_inodes
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "msgspec" not in maps
        rows = map(str.split, Path(f"/proc/{process.pid}/net/tcp").read_text().splitlines()[1:])
        listening_ports = {
            int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and row[9] in socket_inodes
        }
        assert listening_ports == {port}


def test_only_one_process_of_a_node_is_a_member_and_the_next_takes_over(tmp_path: Path) -> None:
    first, second, other = (
        MemberLock(str(tmp_path), "n"),
        MemberLock(str(tmp_path), "n"),
        MemberLock(str(tmp_path), "m"),
    )
    descriptor = first.try_acquire()
    assert descriptor is not None and second.try_acquire() is None and other.try_acquire() is not None
    os.close(descriptor)  # as when the process dies in any way
    assert second.try_acquire() is not None
