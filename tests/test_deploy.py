"""What the deploy file builds."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
COMPILE = ".venv/bin/python -m compileall"


# Report 73ddd4: in a tree whose files have other times than those compiled, each start compiled them anew and
# had 5 MB more of its limit than at rest.
def test_a_copied_tree_starts_without_compiling(tmp_path: Path) -> None:
    shutil.copytree(
        ROOT / "thornladder", tmp_path / "thornladder", ignore=shutil.ignore_patterns("__pycache__")
    )
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    command = COMPILE + build.rpartition(COMPILE)[2]
    command = command.replace(".venv/bin/python", sys.executable)
    subprocess.run(["/bin/sh", "-c", command], cwd=tmp_path, check=True)
    for source in (tmp_path / "thornladder").rglob("*.py"):
        os.utime(source, (1.0, 1.0))
    run = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import thornladder.node.service"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = [
        line for line in run.stderr.splitlines() if "code object from" in line and str(tmp_path) in line
    ]
    assert loaded
    assert [line for line in loaded if line.strip("'").endswith(".py")] == []
