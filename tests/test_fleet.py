"""Several processes of the program with faults between them; and what the lean node must not have.

Verdicts are by order and count, waits on conditions: a machine ten times slower gives the same ones.
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


def test_four_processes_with_one_killed_one_paused_and_one_link_cut_one_way() -> None:
    plan = Scenario(
        seconds=20.0, load=Load(rate=20.0),
        faults=[Fault(kind="kill", at=1, nodes=("n01",)), Fault(kind="pause", at=5, lasts=3, nodes=("n02",)),
                Fault(kind="start", at=12, nodes=("n01",)),
                Fault(kind="cut", at=1, lasts=16, source=("n00",), target=("n03",))],
        holds=Expectations(removed=["n01"], one_view_after=60.0),
    )  # fmt: skip
    told = play.run_scenario(plan, 1)
    assert told["holds"], summary.format_summary(told)
    # All others took it for ended by two witnesses, once, and for alive again after that, once.
    for name in ("n00", "n02", "n03"):
        course = [(each["state"], len(each["witnesses"]) >= 2) for each in told["changes"]
                  if (each["by"], each["of"], each["view"]) == (name, "n01", True)]  # fmt: skip
        assert course == [("ended", True), ("alive", False)], name
    courses = told["views"]["n00"]["n03"] + told["views"]["n03"]["n00"]
    assert any(way.startswith("one-sided") for _, _, way in courses)
    # The one that was paused said no word of any that lived.
    assert not [each for each in told["changes"] if each["of"] != "n01" and "n02" in each["witnesses"]]
    assert told["answers"]["completed"] > 0


def test_a_number_of_nodes_lowered_at_once_is_caught() -> None:
    cut = Fault(kind="cut", at=0, lasts=23, source=("n00", "n01"), target=("n02", "n03"), both=True)
    for hold, caught in ((0.0, True), (300.0, False)):
        told = play.run_scenario(
            Scenario(seconds=24.0, hold=hold, lower_after=hold, load=Load(rate=0), faults=[cut]), 1
        )
        assert any(each["view"] and each["state"] == "lost" for each in told["changes"])
        assert told["holds"] is not caught, summary.format_summary(told)


def test_the_command_line_plays_a_file_and_refuses_a_bad_one(tmp_path: Path) -> None:
    def cli(*words: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "thornladder.cli", *words]
        return subprocess.run(command, capture_output=True, text=True)

    file = tmp_path / "play.toml"
    file.write_text("seconds = 2\nnodes = 2\n[load]\nrate = 10\n[holds]\none_view_after = 60\n")
    done = cli("rig", "run", str(file), "--result", str(tmp_path / "told.json"))
    assert done.returncode == 0 and "what must hold" in done.stdout and "utility" in done.stderr, done.stderr
    assert cli("rig", "show", str(tmp_path / "told.json")).stdout == done.stdout
    bad = {"seconds = 2\nnoddes = 2": "noddes", "seconds = 0": "seconds", "nodes = 2": "seconds",
           "seconds = 2\n[[faults]]\nkind = 'kill'\nat = 1\nnodes = ['x']": "faults[0]"}  # fmt: skip
    for text, word in bad.items():
        file.write_text(text)
        done = cli("rig", "run", str(file))
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and word in done.stderr
    assert cli("members", "127.0.0.1:1").returncode == 1


@pytest.mark.parametrize(
    "text", ["", "fleet = 'f'\nlisten = 'here'", "fleet = 'f'\nlisten = 'a:1'\nsede = 1",
             "fleet = 'f'\nlisten='a:1'\nhold=-1", "fleet = 'f'\nlisten = 'a:1'\nseeds = ['a']"],
)  # fmt: skip
def test_a_bad_fleet_file_is_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(MalformedError) as error:
        load_fleet(str(path))
    assert "\n" not in str(error.value)


def test_the_number_of_nodes_is_raised_at_once_and_lowered_late() -> None:
    from random import Random

    core = Core("a", "10.0.0.1:1", "f", [], Random(1), 0.0)
    count = FleetSize(configured=4, hold=30.0, lower_after=5.0)
    assert count.update(core) == 4  # alone it goes by the settings
    core.bootstrap([Item(f"m{k}", 1, k, 0, State.ALIVE, f"10.0.1.{k}:1") for k in range(7)])
    assert count.update(core) == 8
    core.bootstrap([Item("m1", 1, 1, 0, State.ENDED), Item("m2", 1, 2, 0, State.LEFT)])
    core.bootstrap([Item("m3", 2, 3, 0, State.LOST)])
    for at, nodes in ((0.0, 8), (4.9, 8), (5.1, 6), (29.0, 6), (31.0, 6), (36.1, 5)):
        core.now = core.last_reply_at = at
        assert count.update(core) == nodes, at
    core.bootstrap([Item("m9", 1, 9, 0, State.ALIVE)])
    assert count.update(core) == 6


@pytest.mark.anyio
async def test_the_lean_node_has_nothing_of_a_fleet(tmp_path: Path) -> None:
    words = ("import sys, thornladder.__main__; print([m for m in sys.modules if m.split('.')[0] in "
             "('msgspec', 'typer') or m.startswith(('thornladder.membership', "
             "'thornladder.rig', 'thornladder.cli', 'thornladder.measures'))])")  # fmt: skip
    ended = subprocess.run([sys.executable, "-c", words], capture_output=True, text=True, check=True)
    assert ended.stdout == "[]\n"
    async with running_node(tmp_path, FakeServer(lambda _: reply(200))) as (process, port):
        await anyio.sleep(0.3)
        kinds = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
        sockets = {kind[8:-1] for kind in kinds if kind.startswith("socket:")}
        udp = {line.split()[9] for line in Path(f"/proc/{process.pid}/net/udp").read_text().splitlines()[1:]}
        assert sockets and not sockets & udp
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "msgspec" not in maps
        rows = map(str.split, Path(f"/proc/{process.pid}/net/tcp").read_text().splitlines()[1:])
        ports = {int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and row[9] in sockets}
        assert ports == {port}


def test_two_processes_of_a_node_are_one_member_and_the_second_takes_over(tmp_path: Path) -> None:
    first, second, other = (
        MemberLock(str(tmp_path), "n"),
        MemberLock(str(tmp_path), "n"),
        MemberLock(str(tmp_path), "m"),
    )
    held = first.try_acquire()
    assert held is not None and second.try_acquire() is None and other.try_acquire() is not None
    os.close(held)  # as any death does
    assert second.try_acquire() is not None
